#include "policy/service_room_view.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

/// A report's weight decays with this time constant.
constexpr duration report_time_constant{300};
/// Without reports for the first span, a fraction doubles in each further span of this length.
constexpr duration doubling_span{400};
constexpr duration quiet_span{1000};
constexpr duration expiry_span{5000};
/// Without reports that its targets refuse, a service is taken to accept all after this time.
constexpr duration refusal_lifetime{2000};
/// A route with three calls ends well in less than half of its runs below this fraction.
constexpr double refusing_below = 0.8;
/// How long the others hear that a service has room for all again.
constexpr duration news_span{2000};
constexpr duration cost_lifetime{15'000};
constexpr double cost_smoothing = 0.3;
/// A service matters to a route when it takes at least this part of the route's slot time.
constexpr double min_cost_share = 0.05;
constexpr double all_admitted = 0.999;

} // namespace

void service_room_view::update_room(std::string const& service, std::string const& reporter,
                                    statement const& stated, duration age, time_point now) {
    auto& entry = this->services[service];
    auto& row = entry.by_reporter[reporter];
    auto const computed = now - std::max(duration{0}, age);
    if (computed < row.computed) {
        return;
    }
    row = {stated, computed};
    bool const is_short =
        std::ranges::any_of(stated.fractions, [](double value) { return value < all_admitted; });
    if (is_short || is_refusing(stated.answered)) {
        entry.was_short = true;
        entry.last_short = std::max(entry.last_short, computed);
    }
}

admission_fractions const& service_room_view::statement::fractions_of(std::string const& organisation) const {
    auto const found = this->organisations.find(organisation);
    return found == this->organisations.end() ? this->fractions : found->second;
}

service_room_view::room service_room_view::mean_of(service_reports const& reports,
                                                   std::string const& organisation, time_point now) {
    if (!reports.was_short) {
        return {};
    }
    room result{.fractions = {0, 0, 0}, .answered = 0, .age = expiry_span, .organisations = {}};
    double weights = 0;
    for (auto const& [reporter, row] : reports.by_reporter) {
        auto const age = now - row.computed;
        double const weight = std::exp(-(age / report_time_constant));
        auto const& fractions = row.stated.fractions_of(organisation);
        for (std::size_t index = 0; index < result.fractions.size(); ++index) {
            result.fractions.at(index) += weight * fractions.at(index);
        }
        result.answered += weight * row.stated.answered;
        weights += weight;
        result.age = std::min(result.age, age);
    }
    if (weights <= 0 || result.age >= expiry_span) {
        return {};
    }
    double const recovered = std::exp2(std::max(0.0, (result.age - quiet_span) / doubling_span));
    result.answered = result.age < refusal_lifetime ? result.answered / weights : 1;
    for (auto& fraction : result.fractions) {
        fraction = std::min(1.0, fraction / weights * recovered);
    }
    return result;
}

service_room_view::room service_room_view::room_of(std::string const& service, time_point now) const {
    auto const found = this->services.find(service);
    if (found == this->services.end()) {
        return {};
    }
    auto result = mean_of(found->second, {}, now);
    for (auto const& [reporter, row] : found->second.by_reporter) {
        for (auto const& [organisation, fractions] : row.stated.organisations) {
            if (now - row.computed < quiet_span && !result.organisations.contains(organisation)) {
                result.organisations[organisation] = mean_of(found->second, organisation, now).fractions;
            }
        }
    }
    return result;
}

bool service_room_view::is_refusing(double answered) {
    return answered < refusing_below;
}

std::vector<std::string> service_room_view::refusing_services(time_point now) const {
    std::vector<std::string> result;
    for (auto const& [service, entry] : this->services) {
        if (is_refusing(mean_of(entry, {}, now).answered)) {
            result.push_back(service);
        }
    }
    return result;
}

std::string service_room_view::refusing_service_of(std::string const& route,
                                                   std::string const& direct_service, time_point now) const {
    auto const& costs = this->costs_of(route);
    auto const refusing = this->refusing_services(now);
    auto const found = std::ranges::find_if(refusing, [&](std::string const& service) {
        return costs.empty() || service == direct_service || costs.contains(service);
    });
    return found == refusing.end() ? std::string{} : *found;
}

bool service_room_view::is_newsworthy(std::string const& service, time_point now) const {
    auto const found = this->services.find(service);
    return found != this->services.end() && found->second.was_short &&
           now - found->second.last_short < news_span;
}

void service_room_view::update_costs(std::string const& route, service_costs const& reported,
                                     time_point now) {
    auto& entry = this->routes[route];
    bool const is_first = entry.costs.empty() || now - entry.updated > cost_lifetime;
    entry.updated = now;
    if (is_first) {
        entry.costs = reported;
        return;
    }
    for (auto& [service, cost] : entry.costs) {
        auto const found = reported.find(service);
        cost += cost_smoothing * ((found == reported.end() ? 0.0 : found->second) - cost);
    }
    for (auto const& [service, cost] : reported) {
        entry.costs.try_emplace(service, cost);
    }
}

service_costs const& service_room_view::costs_of(std::string const& route) const {
    static service_costs const unknown;
    auto const found = this->routes.find(route);
    return found == this->routes.end() ? unknown : found->second.costs;
}

service_room_view::bottleneck service_room_view::bottleneck_of(std::string const& route,
                                                               std::string const& direct_service,
                                                               std::string const& organisation,
                                                               std::size_t priority, time_point now) const {
    bottleneck least;
    auto const consider = [&](std::string const& service, double cost) {
        auto const reports = this->services.find(service);
        if (reports == this->services.end()) {
            return;
        }
        auto const known = mean_of(reports->second, organisation, now);
        if (known.fractions.at(priority) < least.fraction) {
            least = {service, known.fractions.at(priority), cost, false, known.age};
        }
    };
    auto const& costs = this->costs_of(route);
    auto const direct = costs.find(direct_service);
    consider(direct_service, direct == costs.end() ? 0 : direct->second);
    double total = 0;
    for (auto const& [service, cost] : costs) {
        total += cost;
    }
    for (auto const& [service, cost] : costs) {
        if (cost >= total * min_cost_share && service != direct_service) {
            consider(service, cost);
        }
    }
    return least;
}

void service_room_view::remove_expired(time_point now) {
    for (auto& [service, entry] : this->services) {
        std::erase_if(entry.by_reporter,
                      [now](auto const& row) { return now - row.second.computed > expiry_span; });
    }
    std::erase_if(this->services, [](auto const& entry) { return entry.second.by_reporter.empty(); });
    std::erase_if(this->routes,
                  [now](auto const& entry) { return now - entry.second.updated > cost_lifetime; });
}

} // namespace caraway
