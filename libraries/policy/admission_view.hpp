/// The admission fractions that an entry node has received for the services behind each route.
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
    /// Records the fractions that `service` reported for `organisation` in an answer on `route`.
    void update(std::string const& route, std::string const& service, std::string const& organisation,
                admission_fractions const& fractions, time_point now);

    /// The lowest admission fraction of any service behind the route; 1 when none is known.
    double min_fraction(std::string const& route, std::string const& organisation, std::size_t priority,
                        time_point now);

    /// The current fractions by service, for forwarding to the caller's node.
    std::map<std::string, admission_fractions>
    fractions_by_service(std::string const& route, std::string const& organisation, time_point now) const;

    void remove_expired(time_point now);

private:
    struct reported_fractions {
        admission_fractions fractions{1, 1, 1};
        time_point updated;
    };
    /// Keyed by service.
    using route_entries = std::map<std::string, reported_fractions>;

    static double recovered_fraction(reported_fractions const& entry, std::size_t priority, time_point now);

    std::unordered_map<std::string, route_entries> entries; ///< Keyed by route and organisation.
};

/// Maps the hash to [0, 1); a request is admitted where this is below the admission fraction. Every hop gets
/// the same value, so that all of them prefer the same requests.
double selection_position(std::uint64_t selection_hash);

} // namespace caraway
