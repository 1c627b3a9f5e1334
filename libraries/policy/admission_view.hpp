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
    void update(std::string const& route, std::string const& service, std::string const& organisation,
                admission_fractions const& fractions, time_point now);

    /// The least part that any service behind the route admits.
    double min_fraction(std::string const& route, std::string const& organisation, std::size_t priority,
                        time_point now);

    /// What is known for the route and organisation, for passing on to the caller's node.
    std::map<std::string, admission_fractions>
    fractions_by_service(std::string const& route, std::string const& organisation, time_point now) const;

    void remove_expired(time_point now);

private:
    struct reported_fractions {
        admission_fractions fractions{1, 1, 1};
        time_point updated;
    };
    /// By service.
    using route_entries = std::map<std::string, reported_fractions>;

    static double recovered_fraction(reported_fractions const& entry, std::size_t priority, time_point now);

    std::unordered_map<std::string, route_entries> entries; ///< By route and organisation.
};

/// Where a request stands among those offered, from 0 to 1; the same at every hop.
double selection_position(std::uint64_t selection_hash);

} // namespace caraway
