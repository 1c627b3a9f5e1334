#include "policy/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

constexpr duration window_span{250};
/// With fewer samples, noise would decide the outcome of a trial.
constexpr std::size_t min_samples = 50;
/// A median above this multiple of the baseline starts a trial of a lower limit.
constexpr double congestion_factor = 2.0;
constexpr double trial_factor = 0.85;
/// A trial is accepted only if throughput stays at least this fraction of the earlier throughput.
constexpr double min_throughput_ratio = 0.97;
/// A trial is accepted only if the median falls to this fraction: on a congested target a lower limit reduces
/// the delay.
constexpr double max_delay_ratio = 0.92;
constexpr duration initial_trial_interval{2000};
constexpr duration max_trial_interval{30'000};
/// Growth of the limit in each window without congestion and outside trials.
constexpr double growth_factor = 1.1;
constexpr double saturated_fraction = 0.85;
/// The baseline is measured again after this span, so that a target that has become permanently slower is not
/// limited for it.
constexpr duration baseline_lifetime{15'000};

} // namespace

concurrency_limiter::concurrency_limiter(int slot_count)
    : slots(slot_count), current_limit(slot_count), trial_interval(initial_trial_interval) {}

void concurrency_limiter::set_slots(int count) {
    bool const was_at_max = this->current_limit >= this->slots;
    this->slots = count;
    this->current_limit = was_at_max ? this->slots : std::min(this->current_limit, this->slots);
}

void concurrency_limiter::restart_at(int known_limit) {
    this->current_limit = std::clamp<double>(known_limit, 1, this->slots);
    this->limit_before_trial = 0;
    this->baseline_time = {0};
    this->samples.clear();
    this->max_in_flight = 0;
}

int concurrency_limiter::limit() const {
    return std::max(1, static_cast<int>(std::lround(this->current_limit)));
}

void concurrency_limiter::record_completion(duration service_time, int in_flight, time_point now) {
    this->samples.push_back(service_time.milliseconds);
    this->max_in_flight = std::max(this->max_in_flight, in_flight);
    bool const is_complete = now - this->window_start >= window_span && this->samples.size() >= min_samples;
    if (is_complete) {
        this->close_window(now);
    }
}

void concurrency_limiter::close_window(time_point now) {
    auto const middle = this->samples.begin() + static_cast<std::ptrdiff_t>(this->samples.size() / 2);
    std::ranges::nth_element(this->samples, middle);
    this->median_time = {*middle};
    double const throughput =
        static_cast<double>(this->samples.size()) / std::max(1e-3, (now - this->window_start).seconds());
    bool const saturated = this->max_in_flight >= saturated_fraction * this->current_limit;
    bool const baseline_expired = now - this->baseline_updated > baseline_lifetime;
    if (this->baseline_time.milliseconds <= 0 || this->median_time < this->baseline_time ||
        baseline_expired) {
        this->baseline_time = this->median_time;
        this->baseline_updated = now;
    }
    bool const congested = this->median_time > this->baseline_time * congestion_factor;
    if (this->limit_before_trial > 0) {
        // End of a trial: keep the lower limit or restore the former one.
        bool const throughput_is_kept =
            !saturated || throughput >= min_throughput_ratio * this->throughput_before_trial;
        bool const delay_is_reduced = this->median_time <= this->median_before_trial * max_delay_ratio;
        if (throughput_is_kept && delay_is_reduced) {
            this->trial_interval = initial_trial_interval;
        } else {
            this->current_limit = this->limit_before_trial;
            this->next_trial = now + this->trial_interval;
            this->trial_interval = std::min(this->trial_interval * 2, max_trial_interval);
        }
        this->limit_before_trial = 0;
    } else if (saturated && congested && now >= this->next_trial) {
        this->limit_before_trial = this->current_limit;
        this->throughput_before_trial = throughput;
        this->median_before_trial = this->median_time;
        this->current_limit = std::max(1.0, this->current_limit * trial_factor);
    } else if (!congested) {
        this->current_limit = std::min(this->slots, this->current_limit * growth_factor + 0.5);
    }
    this->samples.clear();
    this->max_in_flight = 0;
    this->window_start = now;
}

} // namespace caraway
