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
using loan_id = std::uint64_t;

/// What a borrower has done with a loan so far; cumulative, so that a doubled or late report does no harm.
struct loan_use {
    loan_id loan{0};
    token_amount spent{0};
    token_amount returned{0};

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->loan, this->spent, this->returned);
    }
    bool operator==(loan_use const&) const = default;
};

class rate_pool {
public:
    /// Minting starts, from empty, at `usable_from`; it may lie in the past.
    explicit rate_pool(time_point usable_from) : minted_until(usable_from) {}

    /// The domain's part of rate (requests/s) and burst (requests).
    void set_terms(double rate, double burst, time_point now);

    /// Lends up to `wanted`; `expires` is on this host's clock and must lie after the borrower's own limit.
    token_amount lend(loan_id loan, token_amount wanted, time_point now, time_point expires);

    /// Takes a borrower's report.
    void settle(loan_use const& use, time_point now);

    token_amount level(time_point now);
    token_amount outstanding() const { return this->lent; }

    /// Time until `wanted` may be lent, assuming nothing comes back.
    duration wait_for(token_amount wanted, time_point now);

private:
    struct loan_state {
        token_amount amount{0};
        token_amount settled{0};
        token_amount returned{0};
        std::multimap<double, loan_id>::iterator expiry;
    };

    void advance(time_point now);
    void mint_until(time_point instant);
    void end_loan(std::unordered_map<loan_id, loan_state>::iterator loan);

    double rate_per_second{0};
    token_amount capacity{0};
    token_amount stored{0};
    token_amount lent{0};
    double fraction{0}; ///< Minted part of a millionth that is not yet whole.
    time_point minted_until;
    std::unordered_map<loan_id, loan_state> loans;
    std::multimap<double, loan_id> expiries;
};

} // namespace caraway
