#include "telemetry/log_limiter.hpp"

#include <algorithm>
#include <utility>

namespace caraway {

bool log_limiter::admit(log_entry& entry, time_point now) {
    auto& state = this->events[entry.event];
    double const gained = (now - state.filled).seconds() * log_lines_per_second;
    state.lines = std::min(log_lines_per_second, state.lines + std::max(0.0, gained));
    state.filled = now;
    if (state.lines < 1) {
        ++state.left_out;
        return false;
    }
    state.lines -= 1;
    if (state.left_out > 0) {
        entry.fields.push_back({"left_out", std::to_string(std::exchange(state.left_out, 0))});
    }
    return true;
}

} // namespace caraway
