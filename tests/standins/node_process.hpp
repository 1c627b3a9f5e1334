/// Starts the node's program as a process of its own; test code only.
#pragma once

#include <string>
#include <sys/types.h>

namespace caraway::standins {

/// The descriptor on which a started node finds its span file, if there is one.
inline constexpr int span_descriptor = 9;

/// Starts `carawayd --settings PATH`, writing to the log file; `span_path` may be empty. The process ends
/// with this one.
pid_t start_node(std::string const& settings_path, std::string const& log_path,
                 std::string const& span_path = {});

} // namespace caraway::standins
