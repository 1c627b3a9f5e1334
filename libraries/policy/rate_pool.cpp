#include "policy/rate_pool.hpp"

#include <algorithm>
#include <cassert>

namespace caraway {

void rate_pool::set_limit(double rate, double burst, time_point now) {
    this->advance(now);
    this->rate_per_second = rate;
    this->capacity = to_tokens(burst);
    this->available_tokens =
        std::clamp<token_amount>(this->capacity - this->leased, 0, this->available_tokens);
}

token_amount rate_pool::grant(lease_id lease, token_amount wanted, time_point now, time_point expires) {
    this->advance(now);
    auto const amount = std::clamp<token_amount>(wanted, 0, this->available_tokens);
    if (amount == 0) {
        return 0;
    }
    auto const expiry = this->expiries.emplace(expires.milliseconds, lease);
    this->leases[lease] = {.amount = amount, .expiry = expiry};
    this->available_tokens -= amount;
    this->leased += amount;
    assert(this->available_tokens >= 0);
    return amount;
}

token_amount rate_pool::consume(token_amount wanted, time_point now) {
    this->advance(now);
    auto const whole = this->available_tokens - this->available_tokens % one_token;
    auto const amount = std::clamp<token_amount>(wanted, 0, whole);
    this->available_tokens -= amount;
    return amount;
}

void rate_pool::record_usage(lease_usage const& usage, time_point now) {
    this->advance(now);
    auto const found = this->leases.find(usage.lease);
    if (found == this->leases.end()) {
        return;
    }
    auto& lease = found->second;
    auto const returned = std::clamp(usage.returned, lease.returned, lease.amount);
    auto const settled = std::clamp(usage.consumed + returned, lease.settled, lease.amount);
    auto const newly_returned = std::min(returned - lease.returned, settled - lease.settled);
    this->leased -= settled - lease.settled;
    this->available_tokens =
        std::clamp<token_amount>(this->capacity - this->leased, 0, this->available_tokens + newly_returned);
    lease.returned = returned;
    lease.settled = settled;
    if (lease.settled == lease.amount) {
        this->end_lease(found);
    }
}

token_amount rate_pool::available(time_point now) {
    this->advance(now);
    return this->available_tokens;
}

duration rate_pool::time_until_available(token_amount wanted, time_point now) {
    auto const missing = wanted - this->available(now);
    if (missing <= 0) {
        return {0};
    }
    double const refill_pause = std::max(0.0, this->refilled_until.milliseconds - now.milliseconds);
    if (this->rate_per_second <= 0) {
        return {1e6};
    }
    return {refill_pause + to_requests(missing) / this->rate_per_second * 1000};
}

void rate_pool::advance(time_point now) {
    // One expiry at a time: capacity freed by an expired lease may only be refilled from that instant on.
    while (!this->expiries.empty() && this->expiries.begin()->first <= now.milliseconds) {
        auto const first = this->expiries.begin();
        this->refill_until({first->first});
        auto const lease = this->leases.find(first->second);
        assert(lease != this->leases.end());
        this->leased -= lease->second.amount - lease->second.settled;
        this->end_lease(lease);
    }
    this->refill_until(now);
}

void rate_pool::refill_until(time_point instant) {
    if (instant <= this->refilled_until) {
        return;
    }
    double const refilled =
        this->fractional_unit + this->rate_per_second * (instant - this->refilled_until).seconds() * 1e6;
    this->refilled_until = instant;
    auto const room = std::max<token_amount>(0, this->capacity - this->leased - this->available_tokens);
    if (refilled >= static_cast<double>(room)) {
        this->available_tokens += room;
        this->fractional_unit = 0;
        return;
    }
    auto const whole = static_cast<token_amount>(refilled);
    this->available_tokens += whole;
    this->fractional_unit = refilled - static_cast<double>(whole);
}

void rate_pool::end_lease(std::unordered_map<lease_id, lease_state>::iterator lease) {
    this->expiries.erase(lease->second.expiry);
    this->leases.erase(lease);
}

} // namespace caraway
