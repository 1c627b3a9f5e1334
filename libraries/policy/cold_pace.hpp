/// Paces the requests to a target that is cold: it has just started, or lost what made it fast, and crashes
/// when it gets more requests per second than it is configured for.
///
/// Only one process sends to a target. In any second it sends at most rate * factor + slack requests to a
/// cold one, also when some of these were sent before the target was known to be cold.
#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <deque>

namespace caraway {

/// How far the platform lets the fleet exceed a cold target's rate in any second; not at all by default.
struct cold_tolerance {
    double factor{1}; ///< Of the rate; at least 1.
    double slack{0};  ///< Requests.
};

/// The pace that keeps a cold target within its bound.
struct cold_plan {
    double bound{0};    ///< Requests in any second.
    double pace{0};     ///< Requests per second, in the long run.
    double capacity{0}; ///< Requests that may be sent at once.
};

/// `rate`: requests per second, above 0.
cold_plan plan_cold_pace(double rate, cold_tolerance const& tolerance);

class cold_pace {
public:
    /// `started`: when this process began to send; what was sent before is not known.
    explicit cold_pace(time_point started) : known_since(started) {}

    /// A rate of 0 ends the pacing; targets of the service are never cold then.
    void configure(double rate, cold_tolerance const& tolerance, time_point now);
    bool is_configured() const { return this->plan.bound > 0; }

    /// The target is cold from now on; no effect while it is already known to be.
    void begin(time_point now);
    /// The target is not cold any more: the pace doubles repeatedly and then ends, so that the load does not
    /// return at once.
    void end(time_point now);
    /// The target has not been cold at all.
    void withdraw() { this->stage = phase::off; }

    bool is_pacing(time_point now) const;
    bool may_send(time_point now) const { return !this->is_pacing(now) || this->tokens_at(now) >= 1; }
    void record_sent(time_point now);
    /// The time until a request may be sent when this many others are sent before it; 0 while nothing is
    /// paced.
    duration time_until_token(std::size_t ahead, time_point now) const;
    /// Requests per second; only meaningful while requests are paced.
    double pace(time_point now) const;
    /// Requests that may be sent now; only meaningful while requests are paced.
    double tokens_at(time_point now) const;

private:
    enum class phase : unsigned char { off, cold, ending };

    void refill(time_point now);

    cold_plan plan;
    phase stage{phase::off};
    double tokens{0};
    time_point refilled_at;
    time_point ended_at;
    time_point known_since;
    std::deque<time_point> recent; ///< Requests of the last second.
};

} // namespace caraway
