/// Limits the rate of log lines of each event, so that under overload logging costs less than the requests.
#pragma once

#include "base/clock.hpp"
#include "telemetry/log.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace caraway {

/// Rate limit of the lines of each event; also the largest burst, in lines. The first line after suppressed
/// ones has their number.
inline constexpr double log_lines_per_second = 20;

class log_limiter {
public:
    /// Returns false when the line must not be written. The next line that may be written gets the field
    /// "left_out" with the number of suppressed ones.
    bool admit(log_entry& entry, time_point now);

private:
    struct event_state {
        double tokens{log_lines_per_second}; ///< Lines that may be written now.
        time_point last_refill;
        std::uint64_t suppressed{0};
    };

    std::unordered_map<std::string, event_state> events;
};

} // namespace caraway
