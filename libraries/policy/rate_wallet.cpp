#include "policy/rate_wallet.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

/// How far ahead tokens are borrowed.
constexpr duration prefetch_span{60};
/// The estimate of demand forgets over this span.
constexpr duration demand_memory{500};
/// Tokens that nobody asked for over this span go back to their lender.
constexpr duration idle_return{100};
constexpr duration forget_after{5000};

} // namespace

void rate_wallet::note_demand(time_point now) {
    auto const gap = now - this->last_demand;
    double const kept = std::exp(-(gap / demand_memory));
    this->demand_per_second = this->demand_per_second * kept + 1.0 / demand_memory.seconds();
    this->last_demand = now;
}

bool rate_wallet::spend(time_point now) {
    if (this->level(now) < one_token) {
        return false;
    }
    token_amount missing = one_token;
    for (auto& lease : this->leases) {
        auto const taken = std::min(missing, lease.left());
        lease.consumed += taken;
        missing -= taken;
        if (missing == 0) {
            break;
        }
    }
    return true;
}

void rate_wallet::add(std::string const& lender, std::uint8_t shard, lease_id lease, token_amount amount,
                      time_point expires) {
    this->leases.push_back(
        {.lender = lender, .shard = shard, .lease = lease, .amount = amount, .expires = expires});
}

token_amount rate_wallet::level(time_point now) {
    this->drop_expired(now);
    token_amount total = 0;
    for (auto const& lease : this->leases) {
        total += lease.left();
    }
    return total;
}

token_amount rate_wallet::shortage(time_point now, std::size_t waiting) {
    double const kept = std::exp(-((now - this->last_demand) / demand_memory));
    double const ahead = this->demand_per_second * kept * prefetch_span.seconds();
    auto const needed = static_cast<token_amount>(waiting) * one_token;
    // Small demand is met on demand: tokens lying in idle wallets would be missing where a burst arrives.
    auto const wanted = needed + (ahead >= 1 ? to_tokens(std::ceil(ahead)) : 0);
    auto const held = this->level(now);
    bool const enough = waiting == 0 ? held * 2 >= wanted : held >= needed;
    return enough ? 0 : wanted - held;
}

std::vector<wallet_report> rate_wallet::take_reports(time_point now) {
    bool const idle = now - this->last_demand > idle_return;
    std::vector<wallet_report> reports;
    for (auto& lease : this->leases) {
        if (idle) {
            lease.returned += lease.left();
        }
        auto const settled = lease.consumed + lease.returned;
        if (settled > lease.reported) {
            lease.reported = settled;
            reports.push_back({lease.lender, lease.shard, {lease.lease, lease.consumed, lease.returned}});
        }
    }
    std::erase_if(this->leases, [](lease_state const& lease) { return lease.left() == 0; });
    return reports;
}

bool rate_wallet::is_forgettable(time_point now) const {
    return this->leases.empty() && now - this->last_demand > forget_after;
}

void rate_wallet::drop_expired(time_point now) {
    // A loan with spent but unreported tokens stays until the next report; it lends nothing any more.
    for (auto& lease : this->leases) {
        if (lease.expires <= now && lease.left() > 0) {
            lease.amount = lease.consumed + lease.returned;
        }
    }
    std::erase_if(this->leases, [](lease_state const& lease) {
        return lease.left() == 0 && lease.reported == lease.consumed + lease.returned;
    });
}

} // namespace caraway
