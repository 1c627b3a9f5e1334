#include "policy/local_rate_share.hpp"

#include <algorithm>

namespace caraway {

namespace {

/// The fraction of every rate that is leased to hosts whose demand exceeds their even share.
constexpr double leased_fraction = 0.85;
/// Upper bound for the fraction of a rate in the even shares: with skewed demand most of these go unused.
constexpr double max_local_fraction = 0.35;
/// Below this the even shares would use up the tolerance with buckets that are rarely refilled.
constexpr double min_local_fraction = 0.1;

} // namespace

rate_division divide_rate(double rate, double burst, std::size_t hosts, rate_tolerance const& tolerance) {
    auto const count = static_cast<double>(hosts);
    bool const is_divisible = rate > 0 && hosts > 0 && tolerance.window.milliseconds > 0;
    if (!is_divisible) {
        return {};
    }
    double const window_tokens = rate * tolerance.window.seconds();
    double const bound = (1 + tolerance.overage * used_overage_fraction) * (window_tokens + burst) +
                         tolerance.slack * used_overage_fraction;
    double const hosts_bound = bound - leased_fraction * (window_tokens + burst);
    // A bucket with room for less than one request would never admit any.
    double const capacity = std::max(1.0, max_local_fraction * burst / count);
    double const local_fraction =
        std::min(max_local_fraction, (hosts_bound - count * capacity) / window_tokens);
    if (local_fraction < min_local_fraction) {
        return {};
    }
    return {.local_rate = local_fraction * rate / count,
            .local_capacity = capacity,
            .leased_fraction = leased_fraction};
}

void local_rate_share::refill(bucket& entry, time_point now) {
    entry.level = std::min(entry.capacity, entry.level + entry.rate * (now - entry.refilled).seconds());
    entry.refilled = now;
}

void local_rate_share::configure(std::unordered_map<std::string, rate_division> const& divisions,
                                 time_point now) {
    std::erase_if(this->buckets, [&](auto const& entry) { return !divisions.contains(entry.first); });
    for (auto const& [name, division] : divisions) {
        auto const [place, inserted] = this->buckets.try_emplace(name, bucket{.refilled = now});
        auto& entry = place->second;
        refill(entry, now);
        entry.rate = division.local_rate;
        entry.capacity = division.local_capacity;
        entry.level = std::min(entry.level, entry.capacity);
    }
}

bool local_rate_share::try_consume(std::string const& organisation, time_point now) {
    auto const found = this->buckets.find(organisation);
    if (found == this->buckets.end()) {
        return false;
    }
    refill(found->second, now);
    if (found->second.level < 1) {
        return false;
    }
    found->second.level -= 1;
    return true;
}

} // namespace caraway
