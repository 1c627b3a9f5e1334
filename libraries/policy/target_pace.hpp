/// The pace of requests to one target, out of the reasons that bound it. The slowest reason decides.
#pragma once

#include "policy/cold_pace.hpp"
#include "policy/learned_pace.hpp"
#include "policy/target_rate_limiter.hpp"

#include <string_view>

namespace caraway {

/// Why requests to a target are paced.
enum class pace_reason : unsigned char {
    none,
    stated_limit, ///< The target states how many requests it accepts, or did so until a moment ago.
    cold,         ///< The target is cold, may be, or was so until a moment ago.
    learned       ///< The target has started or recovered, and has not shown yet what it bears.
};

std::string_view name_of(pace_reason reason);

class target_pace {
public:
    explicit target_pace(time_point started) : cold(started) {}

    /// Whether requests wait for a token. What is learnt bounds the requests at the target instead.
    bool is_pacing(time_point now) const { return this->limit.is_pacing(now) || this->cold.is_pacing(now); }
    bool may_send(time_point now) const { return this->limit.may_send(now) && this->cold.may_send(now); }
    void record_sent(time_point now);
    /// The time until a request may be sent when this many others are sent before it.
    duration time_until_token(std::size_t ahead, time_point now) const;
    /// Requests per second; only meaningful while requests are paced.
    double pace(time_point now) const;
    /// The reason with the lowest pace. What is learnt has none before the first answer, and then is the
    /// reason only where no other is.
    pace_reason binding_reason(time_point now) const;

    target_rate_limiter limit;
    cold_pace cold;
    learned_pace learned;
};

} // namespace caraway
