/// One organisation's token pool in one failure domain. The host that owns the pool refills it and grants
/// leases.
///
/// Invariant: available tokens plus outstanding leases never exceed the capacity, unless `set_limit` has
/// lowered it below the outstanding leases; then no tokens are available. A lease is outstanding until the
/// lessee has reported its tokens consumed or returned, or until it expires.
#pragma once

#include "base/clock.hpp"
#include "policy/tokens.hpp"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace caraway {

/// Unique at the pool owner.
using lease_id = std::uint64_t;

/// A lessee's usage of a lease so far; cumulative, so that duplicated or delayed reports are harmless.
struct lease_usage {
    lease_id lease{0};
    token_amount consumed{0};
    token_amount returned{0};

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->lease, this->consumed, this->returned);
    }
    bool operator==(lease_usage const&) const = default;
};

class rate_pool {
public:
    /// Refilling starts at `usable_from` with an empty pool; it may lie in the past.
    explicit rate_pool(time_point usable_from) : refilled_until(usable_from) {}

    /// Sets the pool's share of rate (requests/s) and burst (requests).
    void set_limit(double rate, double burst, time_point now);

    /// Grants up to `wanted`. `expires` is an instant of this host's clock and must be later than the
    /// lessee's own expiry.
    token_amount grant(lease_id lease, token_amount wanted, time_point now, time_point expires);

    /// Takes up to `wanted` without a lease: the tokens count as consumed. Takes only whole tokens, since a
    /// part of one that admits no request would be lost.
    token_amount consume(token_amount wanted, time_point now);

    void record_usage(lease_usage const& usage, time_point now);

    token_amount available(time_point now);
    token_amount outstanding() const { return this->leased; }

    /// Time until `wanted` can be granted, assuming that no tokens are returned.
    duration time_until_available(token_amount wanted, time_point now);

private:
    struct lease_state {
        token_amount amount{0};
        token_amount settled{0};
        token_amount returned{0};
        std::multimap<double, lease_id>::iterator expiry;
    };

    void advance(time_point now);
    void refill_until(time_point instant);
    void end_lease(std::unordered_map<lease_id, lease_state>::iterator lease);

    double rate_per_second{0};
    token_amount capacity{0};
    token_amount available_tokens{0};
    token_amount leased{0};
    double fractional_unit{0}; ///< Refilled fraction of one millionth of a request.
    time_point refilled_until;
    std::unordered_map<lease_id, lease_state> leases;
    std::multimap<double, lease_id> expiries;
};

} // namespace caraway
