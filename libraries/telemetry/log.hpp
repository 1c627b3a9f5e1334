/// Structured log lines, one JSON object each, by log4cxx. No line ever carries a key.
#pragma once

#include "base/header_field.hpp"

#include <cstdint>
#include <string>

namespace caraway {

enum class log_level : std::uint8_t { trace, debug, info, warn, error };

/// One event with its fields.
struct log_entry {
    log_level level{log_level::info};
    std::string event; ///< A fixed name, for searching.
    header_list fields;
};

/// Sends lines to standard output from `level` on; call it once before `write_log`.
void open_log(std::string const& level);

/// Thread-safe; changes what `write_log` leaves out.
void set_log_level(std::string const& level);

/// Thread-safe.
void write_log(log_entry const& entry);

} // namespace caraway
