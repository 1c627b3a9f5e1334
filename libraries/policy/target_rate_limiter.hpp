/// Paces the requests to a target that states how many it accepts per second.
///
/// Only one process sends to a target, so its pace bounds what the target gets from all hosts together. No
/// token is saved from before a limit was stated.
#pragma once

#include "base/clock.hpp"

#include <cstddef>

namespace caraway {

/// Requests per second to a target that accepts fewer or none, since only its answer can end the limit.
inline constexpr double min_target_pace = 0.5;

class target_rate_limiter {
public:
    /// `requests_per_second` is finite and not negative; below `min_target_pace` that pace is kept.
    void set_limit(double requests_per_second, time_point now);
    /// The target states no limit any more: the pace doubles repeatedly and then ends, so that the load does
    /// not return at once.
    void release(time_point now);
    /// Another incarnation of the target has stated nothing yet.
    void reset() { *this = {}; }

    /// Whether requests are paced, also while the pace increases after the end of a limit.
    bool is_pacing(time_point now) const;
    bool may_send(time_point now) const { return !this->is_pacing(now) || this->tokens_at(now) >= 1; }
    void record_sent(time_point now);
    /// The time until a request may be sent when this many others are sent before it; 0 without a limit.
    duration time_until_token(std::size_t ahead, time_point now) const;
    /// Requests per second; only meaningful while requests are paced.
    double pace(time_point now) const;

private:
    double tokens_at(time_point now) const;
    void refill(time_point now);

    bool limited{false};
    bool releasing{false};
    double limit{0};
    double tokens{0};
    time_point refilled_at;
    time_point released_at;
};

} // namespace caraway
