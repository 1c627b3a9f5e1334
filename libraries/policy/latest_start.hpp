/// When a request has to be started, or sent on to another host, at the latest. Afterwards it is refused as
/// not run, and the refusal still reaches the caller before the deadline.
#pragma once

#include "base/clock.hpp"

#include <algorithm>

namespace caraway {

inline time_point latest_start(time_point arrived, time_point deadline) {
    /// Of the time that the request had when it arrived.
    constexpr double refusal_fraction = 0.1;
    constexpr duration max_refusal_time{20};
    auto const given = std::max(duration{0}, deadline - arrived);
    return deadline - std::min(given * refusal_fraction, max_refusal_time);
}

} // namespace caraway
