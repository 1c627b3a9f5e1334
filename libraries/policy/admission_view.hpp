/// What a first node knows of the admitted parts of the services behind each route.
#pragma once

#include "base/clock.hpp"
#include "policy/admission_controller.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace caraway {

class admission_view {
public:
    /// An answer on `route` brought what `service` admits for `organisation`.
    void learn(std::string const& route, std::string const& service, std::string const& organisation,
               admitted_parts const& parts, time_point now);

    /// The least part that any service behind the route admits.
    double admitted(std::string const& route, std::string const& organisation, std::size_t priority,
                    time_point now);

    /// What is known for the route and organisation, for passing on to the caller's node.
    std::map<std::string, admitted_parts> known(std::string const& route, std::string const& organisation,
                                                time_point now) const;

    void forget_old(time_point now);

private:
    struct learnt_parts {
        admitted_parts parts{1, 1, 1};
        time_point learnt;
    };
    /// By service.
    using route_entries = std::map<std::string, learnt_parts>;

    static double opened(learnt_parts const& known, std::size_t priority, time_point now);

    std::unordered_map<std::string, route_entries> entries; ///< By route and organisation.
};

/// Where a request stands among those offered, from 0 to 1; the same at every hop.
double selection_position(std::uint64_t selection_hash);

} // namespace caraway
