/// Bounds how many lines of one event are written: under overload the log must cost less than the requests.
#pragma once

#include "base/clock.hpp"
#include "telemetry/log.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace caraway {

/// Lines of one event and level that are written in a second; the first after a gap tells how many were left
/// out.
inline constexpr double log_lines_per_second = 20;

class log_limiter {
public:
    /// False when the line is left out. Adds the field "suppressed" to the next line that is not.
    bool admit(log_entry& entry, time_point now);

private:
    struct event_state {
        double tokens{log_lines_per_second}; ///< That may be written at once.
        time_point last_refill;
        std::uint64_t suppressed{0};
    };

    std::unordered_map<std::string, event_state> events;
};

} // namespace caraway
