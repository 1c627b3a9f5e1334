#include "policy/admission_view.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

/// The least weight of a new report against what several hosts of the service reported before.
constexpr double least_smoothing = 0.25;
/// Rare news weigh more: after this span without any, most of what was known is old.
constexpr duration news_span{200};
/// Without news a part doubles over this span, so that a service that recovered is found.
constexpr duration opening_span{400};
/// News this old says nothing any more.
constexpr duration memory_span{10'000};

std::string key_of(std::string const& route, std::string const& organisation) {
    return route + '\n' + organisation;
}

} // namespace

double admission_view::opened(learnt_parts const& known, std::size_t priority, time_point now) {
    auto const age = std::max(duration{0}, now - known.learnt - opening_span);
    return std::min(1.0, known.parts.at(priority) * std::exp2(age / opening_span));
}

void admission_view::learn(std::string const& route, std::string const& service,
                           std::string const& organisation, admitted_parts const& parts, time_point now) {
    auto& known = this->entries[key_of(route, organisation)][service];
    bool const fresh = now - known.learnt < opening_span;
    double const smoothing = std::max(least_smoothing, 1 - std::exp(-((now - known.learnt) / news_span)));
    for (std::size_t priority = 0; priority < parts.size(); ++priority) {
        double const reported = std::clamp(parts.at(priority), 0.0, 1.0);
        double const before = fresh ? known.parts.at(priority) : opened(known, priority, now);
        known.parts.at(priority) = before + smoothing * (reported - before);
    }
    known.learnt = now;
}

double admission_view::admitted(std::string const& route, std::string const& organisation,
                                std::size_t priority, time_point now) {
    auto const found = this->entries.find(key_of(route, organisation));
    if (found == this->entries.end()) {
        return 1;
    }
    double least = 1;
    for (auto const& [service, known] : found->second) {
        least = std::min(least, opened(known, priority, now));
    }
    return least;
}

std::map<std::string, admitted_parts>
admission_view::known(std::string const& route, std::string const& organisation, time_point now) const {
    std::map<std::string, admitted_parts> result;
    auto const found = this->entries.find(key_of(route, organisation));
    if (found == this->entries.end()) {
        return result;
    }
    for (auto const& [service, entry] : found->second) {
        admitted_parts parts{};
        for (std::size_t priority = 0; priority < parts.size(); ++priority) {
            parts.at(priority) = opened(entry, priority, now);
        }
        result[service] = parts;
    }
    return result;
}

void admission_view::forget_old(time_point now) {
    std::erase_if(this->entries, [now](auto const& row) {
        return std::ranges::all_of(
            row.second, [now](auto const& entry) { return now - entry.second.learnt > memory_span; });
    });
}

double selection_position(std::uint64_t selection_hash) {
    // The upper 53 bits, which a double holds exactly.
    return static_cast<double>(selection_hash >> 11U) / 9007199254740992.0;
}

} // namespace caraway
