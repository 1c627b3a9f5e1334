#include "policy/admission_view.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

/// Lower bound for the weight of a new report, since several hosts of a service report in turn.
constexpr double min_smoothing = 0.25;
/// Time constant after which earlier reports count little: the longer the gap, the greater the weight of the
/// next report.
constexpr duration report_time_constant{200};
/// Without reports a fraction doubles in each span of this length, so that a service that has recovered gets
/// requests again.
constexpr duration doubling_span{400};
/// The reports on a route and organisation are dropped when those of every service are older.
constexpr duration expiry_span{10'000};

std::string key_of(std::string const& route, std::string const& organisation) {
    return route + '\n' + organisation;
}

} // namespace

double admission_view::recovered_fraction(reported_fractions const& entry, std::size_t priority,
                                          time_point now) {
    auto const age = std::max(duration{0}, now - entry.updated - doubling_span);
    return std::min(1.0, entry.fractions.at(priority) * std::exp2(age / doubling_span));
}

void admission_view::update(std::string const& route, std::string const& service,
                            std::string const& organisation, admission_fractions const& fractions,
                            time_point now) {
    auto& entry = this->entries[key_of(route, organisation)][service];
    bool const is_recent = now - entry.updated < doubling_span;
    double const smoothing =
        std::max(min_smoothing, 1 - std::exp(-((now - entry.updated) / report_time_constant)));
    for (std::size_t priority = 0; priority < fractions.size(); ++priority) {
        double const reported = std::clamp(fractions.at(priority), 0.0, 1.0);
        double const before =
            is_recent ? entry.fractions.at(priority) : recovered_fraction(entry, priority, now);
        entry.fractions.at(priority) = before + smoothing * (reported - before);
    }
    entry.updated = now;
}

double admission_view::min_fraction(std::string const& route, std::string const& organisation,
                                    std::size_t priority, time_point now) {
    auto const found = this->entries.find(key_of(route, organisation));
    if (found == this->entries.end()) {
        return 1;
    }
    double lowest = 1;
    for (auto const& [service, entry] : found->second) {
        lowest = std::min(lowest, recovered_fraction(entry, priority, now));
    }
    return lowest;
}

std::map<std::string, admission_fractions>
admission_view::fractions_by_service(std::string const& route, std::string const& organisation,
                                     time_point now) const {
    std::map<std::string, admission_fractions> result;
    auto const found = this->entries.find(key_of(route, organisation));
    if (found == this->entries.end()) {
        return result;
    }
    for (auto const& [service, entry] : found->second) {
        admission_fractions fractions{};
        for (std::size_t priority = 0; priority < fractions.size(); ++priority) {
            fractions.at(priority) = recovered_fraction(entry, priority, now);
        }
        result[service] = fractions;
    }
    return result;
}

void admission_view::remove_expired(time_point now) {
    std::erase_if(this->entries, [now](auto const& row) {
        return std::ranges::all_of(
            row.second, [now](auto const& entry) { return now - entry.second.updated > expiry_span; });
    });
}

double selection_position(std::uint64_t selection_hash) {
    // A double represents the upper 53 bits exactly.
    return static_cast<double>(selection_hash >> 11U) / 9007199254740992.0;
}

} // namespace caraway
