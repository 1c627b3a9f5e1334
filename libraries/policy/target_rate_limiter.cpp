#include "policy/target_rate_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

constexpr double max_pace = 1e6;
/// Tokens are saved for this long, so that a request that comes a little late does not lose its turn.
constexpr duration saved_span{250};
constexpr duration release_doubling_span{500};
constexpr duration release_span{3000};
/// A limit near 0 would not grow by doubling.
constexpr double min_released_pace = 2;

} // namespace

void target_rate_limiter::set_limit(double requests_per_second, time_point now) {
    if (this->is_pacing(now)) {
        this->refill(now);
    } else {
        this->tokens = 0;
    }
    this->limit = std::clamp(requests_per_second, min_target_pace, max_pace);
    this->limited = true;
    this->releasing = false;
    this->refilled_at = now;
    this->refill(now);
}

void target_rate_limiter::release(time_point now) {
    if (!this->limited) {
        return;
    }
    this->refill(now);
    this->limited = false;
    this->releasing = true;
    this->released_at = now;
}

bool target_rate_limiter::is_pacing(time_point now) const {
    return this->limited || (this->releasing && now - this->released_at < release_span);
}

double target_rate_limiter::pace(time_point now) const {
    if (this->limited) {
        return this->limit;
    }
    double const doublings = (now - this->released_at) / release_doubling_span;
    return std::max(min_released_pace, this->limit) * std::exp2(doublings);
}

double target_rate_limiter::tokens_at(time_point now) const {
    double const current_pace = this->pace(now);
    double const capacity = std::max(1.0, current_pace * saved_span.seconds());
    double const minted = current_pace * std::max(duration{0}, now - this->refilled_at).seconds();
    return std::min(capacity, this->tokens + minted);
}

void target_rate_limiter::refill(time_point now) {
    this->tokens = this->tokens_at(now);
    this->refilled_at = now;
}

void target_rate_limiter::record_sent(time_point now) {
    if (this->is_pacing(now)) {
        this->refill(now);
        this->tokens -= 1;
    }
}

duration target_rate_limiter::time_until_token(std::size_t ahead, time_point now) const {
    if (!this->is_pacing(now)) {
        return {0};
    }
    double const missing = static_cast<double>(ahead) + 1 - this->tokens_at(now);
    constexpr double milliseconds_per_second = 1000;
    return {std::max(0.0, missing / this->pace(now) * milliseconds_per_second)};
}

} // namespace caraway
