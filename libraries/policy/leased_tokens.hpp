/// The tokens that one node has borrowed for one organisation, and how much it should borrow next.
#pragma once

#include "base/clock.hpp"
#include "policy/rate_pool.hpp"

#include <deque>
#include <string>
#include <vector>

namespace caraway {

/// A report that is due to a lender.
struct usage_report {
    std::string pool_owner;
    std::uint8_t shard{0};
    lease_usage usage;
};

class leased_tokens {
public:
    /// Spends one whole token that is still valid; false when there is none.
    bool try_consume(time_point now);

    /// Adds a loan; `expires` must be reckoned from before this node asked for it.
    void add_lease(std::string const& pool_owner, std::uint8_t shard, lease_id lease, token_amount amount,
                   time_point expires);

    token_amount available(time_point now);

    /// What to ask for now so that the coming demand is met, with `waiting` requests parked; 0 when enough is
    /// here.
    token_amount shortage(time_point now, std::size_t waiting);

    /// Reports that were not given before, and the return of what an idle wallet holds.
    std::vector<usage_report> take_reports(time_point now);

    /// Whether nothing was asked of it for so long that it may be forgotten.
    bool is_expired(time_point now) const;

    /// Notes a request, admitted or not, for the estimate of demand.
    void record_demand(time_point now);

private:
    struct lease_state {
        std::string pool_owner;
        std::uint8_t shard{0};
        lease_id lease{0};
        token_amount amount{0};
        token_amount consumed{0};
        token_amount returned{0};
        token_amount reported{0};
        time_point expires;

        token_amount remaining() const { return this->amount - this->consumed - this->returned; }
    };

    void remove_expired(time_point now);

    std::deque<lease_state> leases; ///< In the order of their coming.
    double demand_per_second{0};
    time_point last_demand;
};

} // namespace caraway
