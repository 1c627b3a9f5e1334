#include "policy/local_rate_share.hpp"

#include <algorithm>

namespace caraway {

namespace {

/// Of what is tolerated, this part is used: hosts that were added are counted by the others only after the
/// list's lag.
constexpr double used_part_of_overage = 0.8;
/// Of every rate, this part is lent to where demand is greater than the even share.
constexpr double lent_part = 0.85;
/// More of a rate is never given to the even shares: skewed demand would leave it unused.
constexpr double most_local_part = 0.35;
/// Of its even share, what a host that starts may use. Hosts that start bring no pools with them, so that a
/// part of the fleet starting adds less than this part of its own shares.
constexpr double starting_part = 0.8;

} // namespace

rate_division divide_rate(double rate, double burst, std::size_t hosts, rate_tolerance const& tolerance) {
    auto const count = static_cast<double>(hosts);
    bool const has_room = rate > 0 && hosts > 0 && tolerance.window.milliseconds > 0;
    if (!has_room) {
        return {};
    }
    double const in_window = rate * tolerance.window.seconds();
    double const bound = (1 + tolerance.overage * used_part_of_overage) * (in_window + burst) +
                         tolerance.slack * used_part_of_overage;
    double const for_hosts = bound - lent_part * (in_window + burst);
    // A bucket that can't hold one request is of no use.
    double const capacity = std::max(1.0, most_local_part * burst / count);
    double const local_part = std::min(most_local_part, (for_hosts - count * capacity) / in_window);
    if (local_part <= 0) {
        return {};
    }
    return {.local_rate = local_part * rate / count,
            .local_capacity = capacity,
            .starting_rate = std::max(local_part, starting_part) * rate / count,
            .lent_part = lent_part};
}

void local_rate_share::fill(bucket& entry, time_point now) const {
    auto const until = this->starting_until.value_or(entry.filled);
    auto const starting = std::max(duration{0}, std::min(now, until) - entry.filled);
    auto const after = std::max(duration{0}, now - std::max(entry.filled, until));
    double const gained = entry.starting_rate * starting.seconds() + entry.rate * after.seconds();
    entry.level = std::min(entry.capacity, entry.level + gained);
    entry.filled = now;
}

void local_rate_share::configure(std::unordered_map<std::string, rate_division> const& divisions,
                                 time_point now) {
    if (!this->starting_until && !divisions.empty()) {
        this->starting_until = now + starting_span;
    }
    std::erase_if(this->buckets, [&](auto const& entry) { return !divisions.contains(entry.first); });
    for (auto const& [name, division] : divisions) {
        auto const [place, inserted] = this->buckets.try_emplace(name, bucket{.filled = now});
        auto& entry = place->second;
        this->fill(entry, now);
        entry.rate = division.local_rate;
        entry.starting_rate = division.starting_rate;
        entry.capacity = division.local_capacity;
        entry.level = std::min(entry.level, entry.capacity);
    }
}

bool local_rate_share::take(std::string const& organisation, time_point now) {
    auto const found = this->buckets.find(organisation);
    if (found == this->buckets.end()) {
        return false;
    }
    this->fill(found->second, now);
    if (found->second.level < 1) {
        return false;
    }
    found->second.level -= 1;
    return true;
}

} // namespace caraway
