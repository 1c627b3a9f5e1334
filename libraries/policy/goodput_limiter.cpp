#include "policy/goodput_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

/// How long an end counts. A route is to be whole again within two seconds of the end of its trouble.
constexpr duration decay_time_constant{1000};
/// Fewer ends say nothing: a node sees five or more requests of a busy route in a second.
constexpr double min_outcomes = 4;
/// Requests let in for each useful one. A route that fails in up to three of eight is not held back, whatever
/// the cause, and the surplus finds capacity that came back.
constexpr double admitted_per_useful = 1.6;
/// Never less, so that the end of a trouble is seen.
constexpr double min_fraction = 0.3;

double decay_since(time_point since, time_point now) {
    return std::exp(-((now - since) / decay_time_constant));
}

} // namespace

void goodput_limiter::record_outcome(std::string const& route, bool useful, time_point now) {
    auto& entry = this->routes[route];
    double const decay = decay_since(entry.updated, now);
    entry.total = entry.total * decay + 1;
    entry.useful = entry.useful * decay + (useful ? 1 : 0);
    entry.updated = now;
}

double goodput_limiter::admission_fraction(std::string const& route, time_point now) const {
    auto const found = this->routes.find(route);
    if (found == this->routes.end() ||
        found->second.total * decay_since(found->second.updated, now) < min_outcomes) {
        return 1;
    }
    return std::clamp(admitted_per_useful * found->second.useful / found->second.total, min_fraction, 1.0);
}

void goodput_limiter::remove_expired(time_point now) {
    std::erase_if(this->routes, [now](auto const& entry) {
        return entry.second.total * decay_since(entry.second.updated, now) < min_outcomes / 100;
    });
}

} // namespace caraway
