#include "policy/local_rate_share.hpp"

#include <algorithm>

namespace caraway {

namespace {

/// Of what is tolerated, this part is used: hosts that were added are counted by the others only after the
/// list's lag.
constexpr double used_overage_fraction = 0.8;
/// Of every rate, this part is lent to where demand is greater than the even share.
constexpr double leased_fraction = 0.85;
/// More of a rate is never given to the even shares: skewed demand would leave it unused.
constexpr double max_local_fraction = 0.35;
/// Of its even share, what a host that starts may use. Hosts that start bring no pools with them, so that a
/// part of the fleet starting adds less than this part of its own shares.
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
    // A bucket that can't hold one request is of no use.
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
