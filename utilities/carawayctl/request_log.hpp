/// Finds the lines that nodes wrote about one request and its calls.
#pragma once

#include "base/header_field.hpp"

#include <istream>
#include <string>
#include <vector>

namespace caraway {

/// One structured log line.
struct log_line {
    std::string timestamp; ///< As written; sorts in the order of time on one host.
    std::string event;
    std::string request_id;
    header_list fields;

    /// A field's value; empty when the line has none of this name.
    std::string field(std::string const& name) const;
};

/// Adds the lines of the request and of the calls made for it, whose ids begin with its own and a dot. What
/// stands before the line's JSON object, as a collector's host name, is passed over; so is what is no JSON.
void collect_request_lines(std::istream& log, std::string const& request_id, std::vector<log_line>& lines);

/// Brings lines of several logs into one order.
void sort_by_time(std::vector<log_line>& lines);

/// The line that tells how the request itself ended; null when no node wrote one, as for one that its target
/// answered.
log_line const* find_ending(std::vector<log_line> const& lines, std::string const& request_id);

} // namespace caraway
