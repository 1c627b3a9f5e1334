#include "policy/local_rate_share.hpp"

#include <algorithm>

namespace caraway {

namespace {

/// Uses only this fraction of the tolerated overage: hosts that were just added are not counted by the others
/// until these have received the new host list.
constexpr double used_overage_fraction = 0.8;
/// The fraction of every rate that is leased to hosts whose demand exceeds their even share.
constexpr double leased_fraction = 0.85;
/// Upper bound for the fraction of a rate in the even shares: with skewed demand most of these go unused.
constexpr double max_local_fraction = 0.35;
/// A starting host may use this fraction of its even share of the full rate. While a part of the fleet
/// starts, the pools of these hosts grant nothing, so the overage stays below this fraction of the starting
/// hosts' even shares.
constexpr double startup_fraction = 0.8;

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
    if (local_fraction <= 0) {
        return {};
    }
    return {.local_rate = local_fraction * rate / count,
            .local_capacity = capacity,
            .startup_rate = std::max(local_fraction, startup_fraction) * rate / count,
            .leased_fraction = leased_fraction};
}

void local_rate_share::refill(bucket& entry, time_point now) const {
    auto const startup_end = this->startup_until.value_or(entry.refilled);
    auto const startup = std::max(duration{0}, std::min(now, startup_end) - entry.refilled);
    auto const steady = std::max(duration{0}, now - std::max(entry.refilled, startup_end));
    double const gained = entry.startup_rate * startup.seconds() + entry.rate * steady.seconds();
    entry.level = std::min(entry.capacity, entry.level + gained);
    entry.refilled = now;
}

void local_rate_share::configure(std::unordered_map<std::string, rate_division> const& divisions,
                                 time_point now) {
    if (!this->startup_until && !divisions.empty()) {
        this->startup_until = now + startup_span;
    }
    std::erase_if(this->buckets, [&](auto const& entry) { return !divisions.contains(entry.first); });
    for (auto const& [name, division] : divisions) {
        auto const [place, inserted] = this->buckets.try_emplace(name, bucket{.refilled = now});
        auto& entry = place->second;
        this->refill(entry, now);
        entry.rate = division.local_rate;
        entry.startup_rate = division.startup_rate;
        entry.capacity = division.local_capacity;
        entry.level = std::min(entry.level, entry.capacity);
    }
}

bool local_rate_share::try_consume(std::string const& organisation, time_point now) {
    auto const found = this->buckets.find(organisation);
    if (found == this->buckets.end()) {
        return false;
    }
    this->refill(found->second, now);
    if (found->second.level < 1) {
        return false;
    }
    found->second.level -= 1;
    return true;
}

} // namespace caraway
