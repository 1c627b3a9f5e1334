#include "policy/leased_tokens.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

/// How far ahead of the expected demand tokens are leased.
constexpr duration prefetch_span{60};
/// Time constant of the exponentially decaying demand estimate.
constexpr duration demand_time_constant{500};
/// After this span without demand, unused tokens are returned to the pool.
constexpr duration idle_return_span{100};
constexpr duration expiry_span{5000};

} // namespace

void leased_tokens::record_demand(time_point now) {
    auto const gap = now - this->last_demand;
    double const decay = std::exp(-(gap / demand_time_constant));
    this->demand_per_second = this->demand_per_second * decay + 1.0 / demand_time_constant.seconds();
    this->last_demand = now;
}

bool leased_tokens::try_consume(time_point now) {
    if (this->available(now) < one_token) {
        return false;
    }
    token_amount missing = one_token;
    for (auto& lease : this->leases) {
        auto const used = std::min(missing, lease.remaining());
        lease.consumed += used;
        missing -= used;
        if (missing == 0) {
            break;
        }
    }
    return true;
}

void leased_tokens::add_lease(std::string const& pool_owner, std::uint8_t shard, lease_id lease,
                              token_amount amount, time_point expires) {
    this->leases.push_back(
        {.pool_owner = pool_owner, .shard = shard, .lease = lease, .amount = amount, .expires = expires});
}

void leased_tokens::add_consumed(token_amount amount, time_point expires) {
    // First in the order of use, because these tokens cannot be returned.
    this->leases.push_front({.amount = amount, .expires = expires});
}

token_amount leased_tokens::available(time_point now) {
    this->remove_expired(now);
    token_amount total = 0;
    for (auto const& lease : this->leases) {
        total += lease.remaining();
    }
    return total;
}

token_amount leased_tokens::shortage(time_point now, std::size_t waiting) {
    double const decay = std::exp(-((now - this->last_demand) / demand_time_constant));
    double const expected_demand = this->demand_per_second * decay * prefetch_span.seconds();
    auto const needed = static_cast<token_amount>(waiting) * one_token;
    // Nothing is prefetched for low demand: tokens held by idle nodes would be missing where a burst arrives.
    auto const wanted = needed + (expected_demand >= 1 ? to_tokens(std::ceil(expected_demand)) : 0);
    auto const held = this->available(now);
    bool const enough = waiting == 0 ? held * 2 >= wanted : held >= needed;
    return enough ? 0 : wanted - held;
}

std::vector<usage_report> leased_tokens::take_reports(time_point now) {
    bool const idle = now - this->last_demand > idle_return_span;
    std::vector<usage_report> reports;
    for (auto& lease : this->leases) {
        if (!lease.is_reported()) {
            continue;
        }
        if (idle) {
            lease.returned += lease.remaining();
        }
        auto const settled = lease.consumed + lease.returned;
        if (settled > lease.reported) {
            lease.reported = settled;
            reports.push_back({lease.pool_owner, lease.shard, {lease.lease, lease.consumed, lease.returned}});
        }
    }
    std::erase_if(this->leases, [](lease_state const& lease) { return lease.remaining() == 0; });
    return reports;
}

bool leased_tokens::is_expired(time_point now) const {
    return this->leases.empty() && now - this->last_demand > expiry_span;
}

void leased_tokens::remove_expired(time_point now) {
    // An expired lease with unreported consumption is kept until the next report, with no tokens left to
    // consume.
    for (auto& lease : this->leases) {
        if (lease.expires <= now && lease.remaining() > 0) {
            lease.amount = lease.consumed + lease.returned;
        }
    }
    std::erase_if(this->leases, [](lease_state const& lease) {
        return lease.remaining() == 0 &&
               (!lease.is_reported() || lease.reported == lease.consumed + lease.returned);
    });
}

} // namespace caraway
