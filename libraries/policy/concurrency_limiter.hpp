/// Adapts the concurrency limit of the own target by hill climbing on the measured throughput.
///
/// Delay alone can't tell a slow target from a congested one. So a lower limit is tried when the delay is
/// well above its baseline, and kept only if the target completes about as many requests with less delay.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <vector>

namespace caraway {

class concurrency_limiter {
public:
    /// `slots` is the published concurrency of the target, the upper bound of the limit.
    explicit concurrency_limiter(int slots);

    void set_slots(int count);
    /// Begins anew from a limit that the target is known to bear.
    void restart_at(int known_limit);

    /// `service_time` excludes nested calls; `in_flight` includes the completed request.
    void record_completion(duration service_time, int in_flight, time_point now);

    int limit() const;
    duration baseline() const { return this->baseline_time; }
    /// Median of the last complete window.
    duration median_service_time() const { return this->median_time; }

private:
    void close_window(time_point now);

    double slots;
    double current_limit;
    double limit_before_trial{0};      ///< 0 when no trial is running.
    double throughput_before_trial{0}; ///< Completions per second.
    duration median_before_trial{0};
    duration trial_interval;
    time_point window_start;
    time_point next_trial;
    time_point baseline_updated;
    std::vector<double> samples; ///< Service times of the current window in milliseconds.
    int max_in_flight{0};
    duration baseline_time{0};
    duration median_time{0};
};

} // namespace caraway
