/// What a node has heard of the room at the services and of the costs of the routes, from answers.
#pragma once

#include "base/clock.hpp"
#include "policy/admission_controller.hpp"
#include "policy/call_cost_estimator.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace caraway {

class service_room_view {
public:
    struct room {
        admission_fractions fractions{1, 1, 1};
        double answered{1}; ///< Of the requests sent to its targets, those that the targets accept.
        duration age;       ///< Since a host of the service computed the newest of them.
        /// Organisations that are let in with other fractions.
        std::map<std::string, admission_fractions> organisations;
    };
    /// The service that admits the least of a route, and what is known of it.
    struct bottleneck {
        std::string service; ///< Empty when every service has room for all.
        double fraction{1};
        double cost{0};          ///< Slot time of one request there, in milliseconds; 0 when it is not known.
        bool is_refusing{false}; ///< Its targets refuse, rather than that its room is short.
        duration age;
    };

    /// What one reporter said of a service.
    struct statement {
        admission_fractions fractions{1, 1, 1};
        double answered{1};
        std::map<std::string, admission_fractions> organisations{}; ///< With other fractions.

        admission_fractions const& fractions_of(std::string const& organisation) const;
    };

    /// Records what `reporter` said of the service `age` ago.
    void update_room(std::string const& service, std::string const& reporter, statement const& stated,
                     duration age, time_point now);
    void update_costs(std::string const& route, service_costs const& reported, time_point now);

    /// The mean of what was reported lately; all ones when nothing was.
    room room_of(std::string const& service, time_point now) const;
    /// Whether targets that accept this fraction refuse so many requests that those of routes with several
    /// calls mostly fail.
    static bool is_refusing(double answered);
    std::vector<std::string> refusing_services(time_point now) const;
    /// Whether the route takes time of a service whose targets refuse; also where its costs are unknown.
    bool uses_refusing_service(std::string const& route, std::string const& direct_service,
                               time_point now) const {
        return !this->refusing_service_of(route, direct_service, now).empty();
    }
    /// The first such service; empty for none.
    std::string refusing_service_of(std::string const& route, std::string const& direct_service,
                                    time_point now) const;
    /// Whether other nodes have to hear of the service: its room is or was short lately.
    bool is_newsworthy(std::string const& service, time_point now) const;
    /// Empty while unknown.
    service_costs const& costs_of(std::string const& route) const;

    /// `direct_service` runs the route itself.
    bottleneck bottleneck_of(std::string const& route, std::string const& direct_service,
                             std::string const& organisation, std::size_t priority, time_point now) const;

    void remove_expired(time_point now);

private:
    struct service_reports;

    /// The mean of what was reported of the service for the organisation.
    static room mean_of(service_reports const& reports, std::string const& organisation, time_point now);

    struct report {
        statement stated;
        time_point computed;
    };
    struct service_reports {
        std::map<std::string, report> by_reporter;
        time_point last_short;
        bool was_short{false};
    };
    struct route_costs {
        service_costs costs;
        time_point updated;
    };

    std::map<std::string, service_reports> services;
    std::unordered_map<std::string, route_costs> routes;
};

} // namespace caraway
