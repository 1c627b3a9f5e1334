#include "policy/goodput_guard.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

/// How long an end counts. A route is to be whole again within two seconds of the end of its trouble.
constexpr duration memory{1000};
/// Fewer ends say nothing: a node sees five or more requests of a busy route in a second.
constexpr double least_ends = 4;
/// Requests let in for each useful one. A route that fails in up to three of eight is not held back, whatever
/// the cause, and the surplus finds capacity that came back.
constexpr double allowance = 1.6;
/// Never less, so that the end of a trouble is seen.
constexpr double least_part = 0.3;

double faded(time_point since, time_point now) {
    return std::exp(-((now - since) / memory));
}

} // namespace

void goodput_guard::note_ended(std::string const& route, bool useful, time_point now) {
    auto& entry = this->routes[route];
    double const kept = faded(entry.faded, now);
    entry.all = entry.all * kept + 1;
    entry.useful = entry.useful * kept + (useful ? 1 : 0);
    entry.faded = now;
}

double goodput_guard::admitted(std::string const& route, time_point now) const {
    auto const found = this->routes.find(route);
    if (found == this->routes.end() || found->second.all * faded(found->second.faded, now) < least_ends) {
        return 1;
    }
    return std::clamp(allowance * found->second.useful / found->second.all, least_part, 1.0);
}

void goodput_guard::remove_expired(time_point now) {
    std::erase_if(this->routes, [now](auto const& entry) {
        return entry.second.all * faded(entry.second.faded, now) < least_ends / 100;
    });
}

} // namespace caraway
