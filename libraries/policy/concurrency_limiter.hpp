/// How many requests the own target should run at once: climbs by what lower and higher limits were seen to
/// carry.
///
/// Delay alone can't tell a slow target from a crowded one. So a lower limit is tried when the delay is well
/// over its floor, and kept only if the target completes as much as before.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <vector>

namespace caraway {

class concurrency_limiter {
public:
    /// `slots` is what the target publishes, the upper bound.
    explicit concurrency_limiter(int slots);

    void set_slots(int count);

    /// A request ended after `service_time` of the target's own work; `in_flight` counted it.
    void record_completion(duration service_time, int in_flight, time_point now);

    int limit() const;
    duration floor() const { return this->floor_time; }
    /// Median service time of the last whole window.
    duration typical() const { return this->typical_time; }

private:
    void close_window(time_point now);

    double slots;
    double current;
    double fallback{0};            ///< The limit before the trial under way; 0 when none is.
    double fallback_throughput{0}; ///< Completions per second before the trial.
    duration fallback_time{0};     ///< Typical service time before the trial.
    duration trial_pause;
    time_point window_start;
    time_point no_trial_before;
    time_point floor_set;
    std::vector<double> samples; ///< Service times of this window in milliseconds.
    int greatest_in_flight{0};
    duration floor_time{0};
    duration typical_time{0};
};

} // namespace caraway
