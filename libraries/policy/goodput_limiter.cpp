#include "policy/goodput_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

/// Time constant of the outcome counts. A route must be fully admitted again within two seconds of
/// recovering.
constexpr duration decay_time_constant{1000};
/// Too few outcomes are no evidence. A node sees five or more requests per second of a busy route.
constexpr double min_outcomes = 4;
/// Admitted requests per useful one. 1.6 is 8/5: a route on which up to three of eight requests fail is not
/// limited, and the surplus detects recovered capacity.
constexpr double admitted_per_useful = 1.6;
/// Enough requests are always admitted to detect recovery.
constexpr double min_fraction = 0.3;
/// The same while the cause is known.
constexpr double min_probing_fraction = 0.05;
/// Weight of one outcome in the useful part of the latest ones.
constexpr double outcome_smoothing = 0.2;

double decay_since(time_point since, time_point now) {
    return std::exp(-((now - since) / decay_time_constant));
}

} // namespace

void goodput_limiter::record_outcome(std::string const& route, bool useful, time_point now) {
    auto& entry = this->routes[route];
    double const decay = decay_since(entry.updated, now);
    entry.total = entry.total * decay + 1;
    entry.useful = entry.useful * decay + (useful ? 1 : 0);
    entry.latest_useful += outcome_smoothing * ((useful ? 1 : 0) - entry.latest_useful);
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

double goodput_limiter::probing_fraction(std::string const& route) const {
    auto const found = this->routes.find(route);
    if (found == this->routes.end()) {
        return 1;
    }
    return std::clamp(admitted_per_useful * found->second.latest_useful, min_probing_fraction, 1.0);
}

void goodput_limiter::remove_expired(time_point now) {
    std::erase_if(this->routes, [now](auto const& entry) {
        return entry.second.total * decay_since(entry.second.updated, now) < min_outcomes / 100;
    });
}

} // namespace caraway
