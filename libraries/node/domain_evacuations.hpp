/// The failure domains that the operator has evacuated, as the host lists tell it, across restores of the
/// platform from an older copy.
#pragma once

#include "base/clock.hpp"
#include "node/host_list.hpp"

#include <map>
#include <string>
#include <vector>

namespace caraway {

struct evacuation_change {
    std::string domain;
    bool is_evacuated{false};
    std::uint64_t since{0}; ///< Document revision of the operator's request.
};

/// Host lists of one epoch state what holds. A list of a later epoch comes from a copy, which may lack what
/// the operator wrote last: until `restore_grace` has passed since the first list of its epoch, evacuations
/// that it does not name stay in force, and those that were taken back before stay so. What the operator
/// writes in the new epoch counts at once.
class domain_evacuations {
public:
    struct state {
        std::uint64_t since{0};
        time_point in_force_since;
    };

    /// Takes over a newer host list.
    std::vector<evacuation_change> update(host_list const& list, time_point now);
    /// Ends the grace after a restore when it is over.
    std::vector<evacuation_change> run_periodic_tasks(time_point now);

    bool contains(std::string const& domain) const { return this->domains.contains(domain); }
    std::map<std::string, state> const& in_force() const { return this->domains; }
    /// Whether the domain is evacuated only because a copy of the platform may lack the request.
    bool is_kept_after_restore(std::string const& domain) const;

private:
    struct withdrawal {
        std::string domain;
        std::uint64_t since{0}; ///< Of the request that was taken back.
        time_point at;
    };

    std::vector<evacuation_change> evaluate(time_point now);
    bool was_withdrawn_before(evacuated_domain const& listed) const;

    std::map<std::string, state> domains;
    std::vector<evacuated_domain> listed_domains; ///< Of the last list.
    std::vector<withdrawal> withdrawals;
    std::uint64_t epoch{0};
    bool has_list{false};
    bool is_in_grace{false};
    time_point grace_ends_at;
};

} // namespace caraway
