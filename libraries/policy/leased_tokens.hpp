/// The tokens that one node has leased for one organisation, and how many it should request next.
#pragma once

#include "base/clock.hpp"
#include "policy/rate_pool.hpp"

#include <deque>
#include <string>
#include <vector>

namespace caraway {

/// A usage report to be sent to a pool owner.
struct usage_report {
    std::string pool_owner;
    std::uint8_t shard{0};
    lease_usage usage;
};

class leased_tokens {
public:
    /// Consumes one token of an unexpired lease; false when there is none.
    bool try_consume(time_point now);

    /// `expires` must be computed from the time of the request, not of its answer, so that the lease ends
    /// here before it ends at the pool owner.
    void add_lease(std::string const& pool_owner, std::uint8_t shard, lease_id lease, token_amount amount,
                   time_point expires);

    /// Adds tokens that their pool counts as consumed already; their use is not reported.
    void add_consumed(token_amount amount, time_point expires);

    token_amount available(time_point now);

    /// The amount to request now for `waiting` queued requests and the expected demand; 0 when enough is
    /// available.
    token_amount shortage(time_point now, std::size_t waiting);

    /// The usage that has not been reported yet; without recent demand it includes the return of all unused
    /// tokens.
    std::vector<usage_report> take_reports(time_point now);

    /// Whether there is no lease left and there was no demand for so long that the object may be deleted.
    bool is_expired(time_point now) const;

    /// Counts a request, admitted or not, towards the demand estimate.
    void record_demand(time_point now);

private:
    struct lease_state {
        std::string pool_owner;
        std::uint8_t shard{0};
        lease_id lease{0}; ///< 0 for tokens whose use is not reported.
        token_amount amount{0};
        token_amount consumed{0};
        token_amount returned{0};
        token_amount reported{0};
        time_point expires;

        token_amount remaining() const { return this->amount - this->consumed - this->returned; }
        bool is_reported() const { return this->lease != 0; }
    };

    void remove_expired(time_point now);

    std::deque<lease_state> leases; ///< In order of arrival.
    double demand_per_second{0};
    time_point last_demand;
};

} // namespace caraway
