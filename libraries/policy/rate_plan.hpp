/// How one organisation's rate and burst are distributed over the failure domains and hosts of the fleet.
///
/// The rate is held by pools, from which nodes lease tokens (membership/rate_lease_manager.hpp). Without a
/// tolerated overage every failure domain holds a part, by its weight. With one, an organisation has only as
/// many pools as its rate can feed, each in another failure domain: the tokens of a small organisation would
/// otherwise be spread so thinly that most pools hold less than one request. A part of the overage serves
/// callers who cannot reach these pools: as even shares of all hosts where each share holds a request, else
/// as a reserve pool in every failure domain.
#pragma once

#include "policy/local_rate_share.hpp"

#include <span>
#include <string>
#include <vector>

namespace caraway {

/// Requests per second and burst in requests.
struct rate_part {
    double rate{0};
    double burst{0};

    bool is_empty() const { return this->rate <= 0; }
};

struct rate_plan {
    rate_division division;
    std::vector<std::string> pool_domains; ///< Failure domains that hold a pool of the rate.
    rate_part pool;                        ///< Of each of these domains.
    rate_part reserve; ///< Of each failure domain's reserve pool; empty when there is none.
};

/// Plans the distribution over `domains`, which must be the same on all nodes, and `hosts` hosts. No domain
/// holds a pool in the plan when `domains` is empty or the tolerance has no window; the rate is then to be
/// split by the domains' weights.
rate_plan plan_rate(std::string const& organisation, double rate, double burst,
                    std::span<std::string const> domains, std::size_t hosts, rate_tolerance const& tolerance);

} // namespace caraway
