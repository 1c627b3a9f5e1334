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
    duration baseline() const { return this->baseline_time; }
    /// Median service time of the last whole window.
    duration median_service_time() const { return this->median_time; }

private:
    void close_window(time_point now);

    double slots;
    double current_limit;
    double limit_before_trial{0};      ///< The limit before the trial under way; 0 when none is.
    double throughput_before_trial{0}; ///< Completions per second before the trial.
    duration median_before_trial{0};   ///< Typical service time before the trial.
    duration trial_interval;
    time_point window_start;
    time_point next_trial;
    time_point baseline_updated;
    std::vector<double> samples; ///< Service times of this window in milliseconds.
    int max_in_flight{0};
    duration baseline_time{0};
    duration median_time{0};
};

} // namespace caraway
