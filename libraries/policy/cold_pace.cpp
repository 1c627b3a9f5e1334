#include "policy/cold_pace.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

/// The part of the tolerated rate that is used. The rest covers requests that leave this process at other
/// intervals than those at which they were released.
constexpr double used_rate_fraction = 0.9;
constexpr double used_slack_fraction = 0.5;
/// The same for a plan that a whole number of requests per second limits.
constexpr double used_spacing_fraction = 0.95;
/// The span of the bound, and a little more for requests that are on their way.
constexpr duration bound_span{1050};
constexpr duration end_doubling_span{200};
constexpr duration end_span{1400};
/// While the pace rises, tokens are saved for this long.
constexpr duration ending_saved_span{100};
/// A request is not told to wait for longer than this.
constexpr duration max_wait{30'000};
constexpr double milliseconds_per_second = 1000;

} // namespace

cold_plan plan_cold_pace(double rate, cold_tolerance const& tolerance) {
    cold_plan plan;
    plan.bound = rate * std::max(1.0, tolerance.factor) + std::max(0.0, tolerance.slack);
    plan.capacity = std::max(1.0, tolerance.slack * used_slack_fraction);
    // Within a second no more than capacity + pace requests are sent, rounded down.
    double const largest = (std::floor(plan.bound) + 1 - plan.capacity) * used_spacing_fraction;
    plan.pace = std::min(rate * std::max(1.0, tolerance.factor * used_rate_fraction), largest);
    if (plan.bound < 1) {
        plan.pace = 0;
        plan.capacity = 0;
    }
    return plan;
}

void cold_pace::configure(double rate, cold_tolerance const& tolerance, time_point now) {
    if (!(rate > 0)) {
        this->plan = {};
        this->stage = phase::off;
        this->recent.clear();
        return;
    }
    if (this->is_pacing(now)) {
        this->refill(now);
    }
    bool const was_configured = this->is_configured();
    this->plan = plan_cold_pace(rate, tolerance);
    this->tokens = std::min(this->tokens, this->plan.capacity);
    if (!was_configured) {
        this->known_since = now; // Requests are recorded from now on.
    }
}

void cold_pace::begin(time_point now) {
    if (!this->is_configured() || this->stage == phase::cold) {
        return;
    }
    auto const first =
        std::ranges::find_if(this->recent, [now](time_point sent) { return now - sent < bound_span; });
    auto const sent = static_cast<double>(this->recent.end() - first);
    bool const knows_all_sent = now - this->known_since >= bound_span;
    // Requests from before count for as long as the span of the bound.
    double const unused =
        std::max(this->plan.bound - this->plan.pace - sent, -this->plan.pace * bound_span.seconds());
    this->tokens = std::min(knows_all_sent ? this->plan.capacity : 0.0, unused);
    this->refilled_at = now;
    this->stage = phase::cold;
}

void cold_pace::end(time_point now) {
    if (this->stage != phase::cold) {
        return;
    }
    this->refill(now);
    this->stage = phase::ending;
    this->ended_at = now;
}

bool cold_pace::is_pacing(time_point now) const {
    return this->stage == phase::cold || (this->stage == phase::ending && now - this->ended_at < end_span);
}

double cold_pace::pace(time_point now) const {
    if (this->stage == phase::cold) {
        return this->plan.pace;
    }
    double const doublings = (now - this->ended_at) / end_doubling_span;
    return std::max(1.0, this->plan.pace) * std::exp2(doublings);
}

double cold_pace::tokens_at(time_point now) const {
    double const minted = this->pace(now) * std::max(duration{0}, now - this->refilled_at).seconds();
    double const capacity =
        this->stage == phase::cold
            ? this->plan.capacity
            : std::max(this->plan.capacity, this->pace(now) * ending_saved_span.seconds());
    return std::min(capacity, this->tokens + minted);
}

void cold_pace::refill(time_point now) {
    this->tokens = this->tokens_at(now);
    this->refilled_at = now;
}

void cold_pace::record_sent(time_point now) {
    if (!this->is_configured()) {
        return;
    }
    while (!this->recent.empty() && now - this->recent.front() >= bound_span) {
        this->recent.pop_front();
    }
    this->recent.push_back(now);
    if (this->is_pacing(now)) {
        this->refill(now);
        this->tokens -= 1;
    }
}

duration cold_pace::time_until_token(std::size_t ahead, time_point now) const {
    if (!this->is_pacing(now)) {
        return {0};
    }
    double const missing = static_cast<double>(ahead) + 1 - this->tokens_at(now);
    if (missing <= 0) {
        return {0};
    }
    double const current_pace = this->pace(now);
    bool const is_reachable = current_pace * max_wait.seconds() > missing;
    return is_reachable ? duration{missing / current_pace * milliseconds_per_second} : max_wait;
}

} // namespace caraway
