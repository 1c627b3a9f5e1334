/// The part of `target_chooser` that places requests by expected wait and distance.

#include "policy/target_chooser.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

/// A figure of a report counts by exp(-age / time constant): other nodes change the load meanwhile.
constexpr duration load_time_constant{1000};
/// The same for what changes many times a second.
constexpr duration wait_time_constant{300};
constexpr duration link_time_constant{3000};
constexpr double link_smoothing = 0.2;
constexpr duration refusal_time_constant{500};
constexpr double default_request_ms = 50;
constexpr double max_slowdown = 4;
/// Hosts without a queue are compared by this much for their occupied part.
constexpr double occupancy_ms = 5;
/// Free slots below which the time of waiting no longer grows by chance, but by requests beyond the slots.
constexpr double min_free_slots = 2;
constexpr double refusal_ms = 50;
/// A request that fails is worth this much waiting.
constexpr double failure_ms = 400;
/// Failed answers beyond the usual part of the service that are taken for chance.
constexpr double tolerated_failures = 0.1;
/// Of an ejected host that is probed because too few others are left.
constexpr double ejected_ms = 500;
/// Bytes that leave the failure domain or the region are worth this much waiting.
constexpr double domain_bytes_ms = 3;
constexpr double region_bytes_ms = 15;
constexpr double default_link_ms = 4;
/// A request is passed on only for a gain of this much, since that costs another message each way.
constexpr double pass_on_gain_ms = 30;

/// With this many requests of this node outstanding and no answer for `silent_factor` times the usual time
/// plus `silent_margin_ms`, a host is taken to have stopped.
constexpr int min_outstanding_if_silent = 3;
constexpr double silent_factor = 3;
constexpr double silent_margin_ms = 100;

double fade(duration age, duration time_constant) {
    return std::exp(-std::max(0.0, age / time_constant));
}

/// How long a new request waits at a host, on average (Sakasegawa's approximation for several servers; beyond
/// the slots, the requests in the queue). Greater than 0 with few free slots, since others send as well.
double queueing_ms(double in_flight, double limit, double request_ms) {
    double const free_slots = std::max(min_free_slots, limit - in_flight);
    double const occupied = std::min(1.0, in_flight / limit);
    double const chance = std::pow(occupied, std::sqrt(2 * (limit + 1)) - 1);
    double const beyond = std::max(0.0, in_flight + 1 - limit);
    return request_ms * (chance / free_slots + beyond / limit);
}

} // namespace

void target_chooser::record_link_delay(std::string const& host, duration delay, time_point now) {
    auto const found = this->hosts.find(host);
    if (found == this->hosts.end()) {
        return;
    }
    auto& state = found->second;
    bool const is_first = state.link_delay_at.milliseconds == 0;
    double const measured = std::max(0.0, delay.milliseconds);
    state.link_delay_ms += (is_first ? 1 : link_smoothing) * (measured - state.link_delay_ms);
    state.link_delay_at = now;
}

double target_chooser::requests_at(candidate_host const& candidate, host_state const& state,
                                   time_point now) const {
    auto const reported_at = now - candidate.report_age - duration{state.link_delay_ms};
    auto const first_unreported =
        std::upper_bound(state.recent_sends.begin(), state.recent_sends.end(), reported_at);
    auto const unreported = static_cast<double>(state.recent_sends.end() - first_unreported);
    double const known = candidate.reported_in_flight * fade(candidate.report_age, load_time_constant);
    return std::max<double>(state.outstanding, known + unreported);
}

target_chooser::scored_host target_chooser::score(candidate_host const& candidate, double usual_failures,
                                                  time_point now) const {
    static host_state const unused;
    auto const found = this->hosts.find(candidate.host);
    auto const& state = found == this->hosts.end() ? unused : found->second;
    double const limit = std::max<std::uint32_t>(1, candidate.limit);
    double const request_ms =
        candidate.request_time.milliseconds > 0 ? candidate.request_time.milliseconds : default_request_ms;
    double const recent = fade(candidate.report_age, wait_time_constant);
    double const slowdown =
        1 + (std::clamp(candidate.work_time_percent / 100, 1.0, max_slowdown) - 1) * recent;
    double const present = this->requests_at(candidate, state, now);
    double const in_flight = present * slowdown + limit * this->warm_up_penalty(state, now);
    double const refusals = state.refusals * fade(now - state.refusals_at, refusal_time_constant);
    double const excess_failures = candidate.failure_fraction - usual_failures;
    double const failures = excess_failures > tolerated_failures ? excess_failures : 0;
    bool const is_ejected = now < state.ejected_until;
    double const silence =
        state.outstanding >= min_outstanding_if_silent ? (now - state.answered_at).milliseconds : 0;
    double const usual_ms = std::max(request_ms, state.smoothed_response_ms);
    bool const is_silent = silence > silent_factor * usual_ms + silent_margin_ms + state.link_delay_ms;
    double const wait = std::max({candidate.reported_wait.milliseconds * recent,
                                  queueing_ms(in_flight, limit, request_ms), is_silent ? silence : 0});

    scored_host scored{.candidate = &candidate};
    scored.distance = state.link_delay_ms * fade(now - state.link_delay_at, link_time_constant);
    if (!candidate.same_domain) {
        scored.distance = std::max(default_link_ms, scored.distance) +
                          (candidate.same_region ? domain_bytes_ms : region_bytes_ms);
    }
    scored.distance += failure_ms * failures + (is_ejected ? ejected_ms : 0);
    scored.score =
        scored.distance + wait + occupancy_ms * std::min(2.0, in_flight / limit) + refusal_ms * refusals;
    return scored;
}

std::vector<candidate_host const*> target_chooser::placeable(std::vector<candidate_host> const& candidates,
                                                             bool idempotent, time_point now) const {
    std::vector<candidate_host const*> usable;
    std::vector<candidate_host const*> probeable;
    for (auto const& candidate : candidates) {
        if (this->may_use(candidate.host, idempotent, now)) {
            usable.push_back(&candidate);
        } else if (idempotent && this->outstanding(candidate.host) == 0) {
            probeable.push_back(&candidate);
        }
    }
    if (usable.empty()) {
        for (auto const& candidate : candidates) {
            usable.push_back(&candidate);
        }
    } else if (usable.size() * 2 < candidates.size()) {
        usable.insert(usable.end(), probeable.begin(), probeable.end());
    }
    // Targets without room are used only when no other is left: the host beside the target then decides.
    if (std::ranges::any_of(usable, [](auto const* candidate) { return candidate->has_room; })) {
        std::erase_if(usable, [](auto const* candidate) { return !candidate->has_room; });
    }
    auto const awaits_answer = [this, now](candidate_host const* candidate) {
        return this->awaits_first_answer(candidate->host, now);
    };
    if (!std::ranges::all_of(usable, awaits_answer)) {
        std::erase_if(usable, awaits_answer);
    }
    return usable;
}

std::optional<placement> target_chooser::place(std::vector<candidate_host> const& candidates, bool idempotent,
                                               std::uint64_t random, time_point now) const {
    constexpr std::size_t rings = 3;
    std::array<std::vector<candidate_host const*>, rings> by_ring;
    double failures = 0;
    for (auto const* candidate : this->placeable(candidates, idempotent, now)) {
        by_ring.at(candidate->same_domain ? 0 : (candidate->same_region ? 1 : 2)).push_back(candidate);
    }
    for (auto const& candidate : candidates) {
        failures += candidate.failure_fraction / static_cast<double>(candidates.size());
    }
    scored_host best;
    scored_host second;
    for (auto const& ring : by_ring) {
        if (ring.empty()) {
            continue;
        }
        auto const first = (random & 0xFFFF'FFFFU) % ring.size();
        auto const step = ring.size() > 1 ? 1 + (random >> 32U) % (ring.size() - 1) : 0;
        for (auto const index : {first, (first + step) % ring.size()}) {
            if (best.candidate == ring[index] || second.candidate == ring[index]) {
                continue;
            }
            auto const scored = this->score(*ring[index], failures, now);
            if (best.candidate == nullptr || scored.score < best.score) {
                second = best;
                best = scored;
            } else if (second.candidate == nullptr || scored.score < second.score) {
                second = scored;
            }
        }
    }
    if (best.candidate == nullptr) {
        return std::nullopt;
    }
    placement chosen{.host = best.candidate->host};
    if (second.candidate != nullptr) {
        chosen.pass_on_above = {std::max(0.0, second.score - best.distance) + pass_on_gain_ms};
    }
    return chosen;
}

} // namespace caraway
