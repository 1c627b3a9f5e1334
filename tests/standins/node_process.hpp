/// Starts a node as a separate process; test code only.
#pragma once

#include <string>
#include <sys/types.h>

namespace caraway::standins {

/// The file descriptor to which a started node writes its spans, if there is a span file.
inline constexpr int span_descriptor = 9;

/// Starts `carawayd --settings PATH` with its output appended to the log file. No spans are written when
/// `span_path` is empty. The process is killed when this one ends.
pid_t start_node(std::string const& settings_path, std::string const& log_path,
                 std::string const& span_path = {});

} // namespace caraway::standins
