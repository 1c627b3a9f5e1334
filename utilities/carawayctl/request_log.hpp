/// Finds the log lines that nodes wrote about one request and its calls.
#pragma once

#include "base/header_field.hpp"

#include <istream>
#include <string>
#include <vector>

namespace caraway {

/// One structured log line.
struct log_line {
    std::string timestamp; ///< As written; lines of one host sort by it in the order of time.
    std::string event;
    std::string request_id;
    header_list fields;

    /// The field's value; empty when the line has no such field.
    std::string field(std::string const& name) const;
};

/// Appends the lines of the request and of the calls made for it, whose ids start with the request's id and a
/// dot. Text before a line's JSON object, such as a log collector's host name, is ignored, and so are lines
/// without JSON.
void collect_request_lines(std::istream& log, std::string const& request_id, std::vector<log_line>& lines);

/// Orders lines of several logs by their timestamps.
void sort_by_time(std::vector<log_line>& lines);

/// The line with the request's own outcome. Null when no node wrote one, for example because the target
/// answered the request.
log_line const* find_outcome(std::vector<log_line> const& lines, std::string const& request_id);

} // namespace caraway
