#include "policy/organisation_shares.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace caraway {

namespace {

/// One organisation sends a few requests a second to one target.
constexpr duration demand_time_constant{1000};
/// Organisations with less demand, in slots, are forgotten.
constexpr double min_tracked_slots = 0.001;
constexpr std::size_t max_named = 6;
constexpr double min_fraction = 0.02;
/// Nobody is named while all would be let in with about the same fraction.
constexpr double min_difference = 0.05;

} // namespace

void organisation_shares::record(std::string const& organisation, double weight, double slot_time) {
    auto& entry = this->demands[organisation];
    entry.weight = weight;
    entry.arrived += slot_time;
}

void organisation_shares::update(duration span) {
    double const smoothing = 1 - std::exp(-(span / demand_time_constant));
    for (auto& [organisation, entry] : this->demands) {
        entry.slots += smoothing * (entry.arrived / span.milliseconds - entry.slots);
        entry.arrived = 0;
    }
    std::erase_if(this->demands, [](auto const& entry) { return entry.second.slots < min_tracked_slots; });
}

organisation_fractions organisation_shares::divide(double fraction) const {
    struct claim {
        std::string const* organisation;
        demand const* wanted;
        double granted;
    };
    std::vector<claim> claims;
    double total = 0;
    double weights = 0;
    for (auto const& [organisation, entry] : this->demands) {
        claims.push_back({&organisation, &entry, 0});
        total += entry.slots;
        weights += entry.weight;
    }
    // The smallest demand for its weight is served first, and the others share what it leaves.
    std::ranges::sort(claims, {},
                      [](claim const& entry) { return entry.wanted->slots / entry.wanted->weight; });
    double left = total * fraction;
    for (auto& entry : claims) {
        entry.granted = std::min(entry.wanted->slots, left * entry.wanted->weight / weights);
        left -= entry.granted;
        weights -= entry.wanted->weight;
    }
    std::ranges::sort(claims, std::ranges::greater{},
                      [](claim const& entry) { return entry.wanted->slots - entry.granted; });
    organisation_fractions result{.named = {}, .others = fraction};
    double others_wanted = 0;
    double others_granted = 0;
    for (std::size_t index = 0; index < claims.size(); ++index) {
        auto const& entry = claims[index];
        double const part = std::clamp(entry.granted / entry.wanted->slots, min_fraction, 1.0);
        if (index < max_named && part < fraction - min_difference) {
            result.named[*entry.organisation] = part;
            continue;
        }
        others_wanted += entry.wanted->slots;
        others_granted += entry.granted;
    }
    if (others_wanted > 0) {
        result.others = std::clamp(others_granted / others_wanted, min_fraction, 1.0);
    }
    return result;
}

} // namespace caraway
