#include "policy/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

constexpr duration window_span{250};
/// Fewer would let chance decide whether a trial is kept.
constexpr std::size_t min_samples = 50;
/// Delay over this multiple of its floor makes a lower limit worth a trial.
constexpr double crowded_factor = 2.0;
constexpr double trial_factor = 0.85;
/// A trial is kept when it carries at least this part of what was carried before.
constexpr double kept_throughput = 0.97;
/// A crowded target is relieved by a lower limit: its delay falls with it.
constexpr double kept_delay = 0.92;
constexpr duration first_trial_pause{2000};
constexpr duration longest_trial_pause{30'000};
constexpr double growth = 1.1;
constexpr double saturated_part = 0.85;
/// The floor is learnt anew after this span, so that a target that became slower for good is not held down.
constexpr duration floor_memory{15'000};

} // namespace

concurrency_limiter::concurrency_limiter(int slot_count)
    : slots(slot_count), current(slot_count), trial_pause(first_trial_pause) {}

void concurrency_limiter::set_slots(int count) {
    bool const was_at_top = this->current >= this->slots;
    this->slots = count;
    this->current = was_at_top ? this->slots : std::min(this->current, this->slots);
}

int concurrency_limiter::limit() const {
    return std::max(1, static_cast<int>(std::lround(this->current)));
}

void concurrency_limiter::record_completion(duration service_time, int in_flight, time_point now) {
    this->samples.push_back(service_time.milliseconds);
    this->greatest_in_flight = std::max(this->greatest_in_flight, in_flight);
    bool const whole = now - this->window_start >= window_span && this->samples.size() >= min_samples;
    if (whole) {
        this->close_window(now);
    }
}

void concurrency_limiter::close_window(time_point now) {
    auto const middle = this->samples.begin() + static_cast<std::ptrdiff_t>(this->samples.size() / 2);
    std::ranges::nth_element(this->samples, middle);
    this->typical_time = {*middle};
    double const throughput =
        static_cast<double>(this->samples.size()) / std::max(1e-3, (now - this->window_start).seconds());
    bool const saturated = this->greatest_in_flight >= saturated_part * this->current;
    bool const floor_is_old = now - this->floor_set > floor_memory;
    if (this->floor_time.milliseconds <= 0 || this->typical_time < this->floor_time || floor_is_old) {
        this->floor_time = this->typical_time;
        this->floor_set = now;
    }
    bool const crowded = this->typical_time > this->floor_time * crowded_factor;
    if (this->fallback > 0) {
        // A trial ends: keep the lower limit, or go back to what carried more.
        bool const carries_as_much = !saturated || throughput >= kept_throughput * this->fallback_throughput;
        bool const is_relieved = this->typical_time <= this->fallback_time * kept_delay;
        if (carries_as_much && is_relieved) {
            this->trial_pause = first_trial_pause;
        } else {
            this->current = this->fallback;
            this->no_trial_before = now + this->trial_pause;
            this->trial_pause = std::min(this->trial_pause * 2, longest_trial_pause);
        }
        this->fallback = 0;
    } else if (saturated && crowded && now >= this->no_trial_before) {
        this->fallback = this->current;
        this->fallback_throughput = throughput;
        this->fallback_time = this->typical_time;
        this->current = std::max(1.0, this->current * trial_factor);
    } else if (!crowded) {
        this->current = std::min(this->slots, this->current * growth + 0.5);
    }
    this->samples.clear();
    this->greatest_in_flight = 0;
    this->window_start = now;
}

} // namespace caraway
