/// One organisation's tokens in one failure domain, minted and lent out by the one host that owns them.
///
/// Invariant: the level and all outstanding loans together never exceed the capacity. Loans count until the
/// borrower has reported them spent or returned, or until they have expired.
#pragma once

#include "base/clock.hpp"
#include "policy/tokens.hpp"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace caraway {

/// Identifies a loan at its lender.
using lease_id = std::uint64_t;

/// What a borrower has done with a loan so far; cumulative, so that a doubled or late report does no harm.
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
    /// Minting starts, from empty, at `usable_from`; it may lie in the past.
    explicit rate_pool(time_point usable_from) : refilled_until(usable_from) {}

    /// The domain's part of rate (requests/s) and burst (requests).
    void set_limit(double rate, double burst, time_point now);

    /// Lends up to `wanted`; `expires` is on this host's clock and must lie after the borrower's own limit.
    token_amount grant(lease_id lease, token_amount wanted, time_point now, time_point expires);

    /// Takes a borrower's report.
    void record_usage(lease_usage const& usage, time_point now);

    token_amount available(time_point now);
    token_amount outstanding() const { return this->leased; }

    /// Time until `wanted` may be lent, assuming nothing comes back.
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
    double partial_token{0}; ///< Minted part of a millionth that is not yet whole.
    time_point refilled_until;
    std::unordered_map<lease_id, lease_state> leases;
    std::multimap<double, lease_id> expiries;
};

} // namespace caraway
