/// Structured log lines, one JSON object each, by log4cxx. API keys are never logged.
#pragma once

#include "base/header_field.hpp"

#include <cstdint>
#include <string>

namespace caraway {

enum class log_level : std::uint8_t { trace, debug, info, warn, error };

/// One event with its fields.
struct log_entry {
    log_level level{log_level::info};
    std::string event; ///< A fixed name, so that logs can be searched for it.
    header_list fields;
};

/// Writes lines of `level` and above to standard output; call it once before `write_log`.
void open_log(std::string const& level);

/// Thread-safe; lines below `level` are not written from now on.
void set_log_level(std::string const& level);

/// Thread-safe.
void write_log(log_entry const& entry);

} // namespace caraway
