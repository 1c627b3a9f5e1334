#include "telemetry/log_limiter.hpp"

#include <algorithm>
#include <utility>

namespace caraway {

bool log_limiter::admit(log_entry& entry, time_point now) {
    auto& state = this->events[entry.event];
    double const gained = (now - state.last_refill).seconds() * log_lines_per_second;
    state.tokens = std::min(log_lines_per_second, state.tokens + std::max(0.0, gained));
    state.last_refill = now;
    if (state.tokens < 1) {
        ++state.suppressed;
        return false;
    }
    state.tokens -= 1;
    if (state.suppressed > 0) {
        entry.fields.push_back({"left_out", std::to_string(std::exchange(state.suppressed, 0))});
    }
    return true;
}

} // namespace caraway
