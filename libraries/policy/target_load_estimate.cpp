#include "policy/target_load_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

/// A stated work time and load count in full when they arrive and no longer after this time.
constexpr duration statement_lifetime{600};
constexpr double usual_percent = 100;
/// Samples that an average covers.
constexpr int averaged_answers = 100;
constexpr double failure_smoothing = 0.12;
constexpr duration failure_time_constant{2000};
/// A target that runs this many requests and gives no answer for `silent_factor` times their mean length plus
/// `silent_margin` is taken to have stopped; with more requests the time is shorter in proportion.
constexpr std::size_t min_running_if_silent = 3;
constexpr double silent_factor = 2;
constexpr duration silent_margin{100};

} // namespace

void target_load_estimate::record_stated(stated_load const& stated, std::size_t own_running, time_point now) {
    this->foreign = std::max(0, stated.present - static_cast<int>(own_running));
    this->slots = stated.slots;
    this->stated_at = now;
    if (stated.work_time_percent) {
        this->percent = *stated.work_time_percent;
        this->percent_at = now;
    }
}

void target_load_estimate::record_sent(std::size_t running, time_point now) {
    if (running == 0) {
        this->busy_since = now;
    }
}

void target_load_estimate::record_answer(duration own_time, duration held_time, bool failed, time_point now) {
    double const before = this->failure_fraction(now);
    this->failures = before + failure_smoothing * ((failed ? 1 : 0) - before);
    this->answered_at = now;
    if (failed) {
        return;
    }
    this->answers = std::min(this->answers + 1, averaged_answers);
    double const usual_ms = own_time.milliseconds * usual_percent / this->work_time_percent(now);
    double const nested = std::max(0.0, held_time.milliseconds - own_time.milliseconds);
    this->usual_own_ms += (usual_ms - this->usual_own_ms) / this->answers;
    this->nested_ms += (nested - this->nested_ms) / this->answers;
    double const held = held_time.milliseconds;
    this->held_squared += (held * held - this->held_squared) / this->answers;
}

double target_load_estimate::work_time_percent(time_point now) const {
    return now - this->percent_at < statement_lifetime ? this->percent : usual_percent;
}

duration target_load_estimate::request_time(time_point now) const {
    return {this->usual_own_ms * this->work_time_percent(now) / usual_percent + this->nested_ms};
}

duration target_load_estimate::silence(own_load const& load, time_point now) const {
    if (load.running < min_running_if_silent) {
        return {0};
    }
    auto const span = now - std::max(this->answered_at, this->busy_since);
    double const expected_answers = static_cast<double>(load.running) / min_running_if_silent;
    // Of the requests that run at one moment, the long ones are the greater part.
    double const mean = this->usual_own_ms + this->nested_ms;
    double const running_ms = mean > 0 ? this->held_squared / mean : 0;
    auto const longest = duration{running_ms * silent_factor / expected_answers} + silent_margin;
    return span > longest ? span : duration{0};
}

duration target_load_estimate::wait_behind(std::size_t ahead, own_load const& load, time_point now) const {
    bool const is_recent = now - this->stated_at < statement_lifetime;
    int const usable = is_recent && this->slots > 0 ? std::min(this->slots, load.limit) : load.limit;
    double const slot_count = std::max(1, usable);
    double const present = static_cast<double>(load.running + ahead) + (is_recent ? this->foreign : 0);
    double const beyond = std::max(0.0, present + 1 - slot_count);
    return this->request_time(now) * (beyond / slot_count) + this->silence(load, now);
}

duration target_load_estimate::expected_wait(own_load const& load, time_point now) const {
    return this->wait_behind(load.queued, load, now);
}

double target_load_estimate::failure_fraction(time_point now) const {
    return this->failures * std::exp(-((now - this->answered_at) / failure_time_constant));
}

} // namespace caraway
