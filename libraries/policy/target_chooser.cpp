#include "policy/target_chooser.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace caraway {

namespace {

constexpr int failures_to_eject = 3;
constexpr duration initial_ejection_span{1000};
constexpr duration max_ejection_span{30'000};
constexpr duration refusal_time_constant{500};
/// Added to a host's load for each recent refusal. The unit of load is requests in flight / limit.
constexpr double refusal_cost = 0.25;
constexpr duration warm_up_span{5000};
/// Added to the load of a host that is newly used, also after an ejection; declines to 0 over `warm_up_span`.
constexpr double cold_penalty = 0.5;
/// Older reports are ignored: they do not reflect the current load.
constexpr duration report_lifetime{1000};
/// A host of the own failure domain is preferred, since links between domains add latency, until its load
/// exceeds `spill_threshold` and is greater than the other host's by more than `spill_margin`. In units of
/// load.
constexpr double spill_margin = 0.35;
constexpr double spill_threshold = 0.85;
constexpr double response_time_smoothing = 0.1;
constexpr std::size_t max_recent_sends = 1024;
/// A first request that takes longer than this no longer keeps others back.
constexpr duration first_answer_span{500};

} // namespace

void target_chooser::record_sent(std::string const& host, time_point now) {
    auto& state = this->hosts[host];
    if (std::exchange(state.is_new, false)) {
        state.first_used = now;
    }
    if (state.outstanding++ == 0) {
        state.answered_at = now;
    }
    auto& sends = state.recent_sends;
    sends.push_back(now);
    while (sends.size() > max_recent_sends || now - sends.front() > report_lifetime) {
        sends.pop_front();
    }
    if (state.ejections > 0 && now >= state.ejected_until && state.consecutive_failures > 0) {
        state.probing = true;
    }
}

void target_chooser::restart_use(std::string const& host, time_point now) {
    auto const found = this->hosts.find(host);
    if (found != this->hosts.end()) {
        // Not from its next use, which may never come while others have little load.
        found->second.first_used = now;
        found->second.is_unproven = true;
    }
}

void target_chooser::record_answer(std::string const& host, duration response_time, bool failed, bool refused,
                                   time_point now) {
    auto& state = this->hosts[host];
    state.outstanding = std::max(0, state.outstanding - 1);
    state.answered_at = now;
    bool const was_probe = std::exchange(state.probing, false);
    if (refused) {
        double const decayed =
            state.refusals * std::exp(-((now - state.refusals_at) / refusal_time_constant));
        state.refusals = std::min(8.0, decayed + 1);
        state.refusals_at = now;
    }
    if (!failed) {
        state.consecutive_failures = 0;
        state.is_unproven = false;
        state.ejections = refused ? state.ejections : 0;
        state.smoothed_response_ms +=
            response_time_smoothing * (response_time.milliseconds - state.smoothed_response_ms);
        return;
    }
    ++state.consecutive_failures;
    if (state.consecutive_failures >= failures_to_eject || was_probe) {
        auto const span = initial_ejection_span * std::exp2(std::min(state.ejections, 10));
        state.ejected_until = now + std::min(span, max_ejection_span);
        ++state.ejections;
        state.first_used = state.ejected_until;
        state.is_unproven = true;
    }
}

void target_chooser::record_abandoned(std::string const& host) {
    auto const found = this->hosts.find(host);
    if (found != this->hosts.end()) {
        found->second.outstanding = std::max(0, found->second.outstanding - 1);
        found->second.probing = false;
    }
}

bool target_chooser::is_ejected(std::string const& host, time_point now) const {
    auto const found = this->hosts.find(host);
    return found != this->hosts.end() && now < found->second.ejected_until;
}

std::vector<std::string> target_chooser::ejected_hosts(time_point now) const {
    std::vector<std::string> names;
    for (auto const& [name, state] : this->hosts) {
        if (now < state.ejected_until) {
            names.push_back(name);
        }
    }
    return names;
}

int target_chooser::outstanding(std::string const& host) const {
    auto const found = this->hosts.find(host);
    return found == this->hosts.end() ? 0 : found->second.outstanding;
}

void target_chooser::remove_unlisted(std::vector<std::string> const& listed) {
    std::erase_if(this->hosts, [&](auto const& entry) {
        return entry.second.outstanding == 0 && std::ranges::find(listed, entry.first) == listed.end();
    });
}

bool target_chooser::may_use(std::string const& host, bool idempotent, time_point now) const {
    auto const found = this->hosts.find(host);
    if (found == this->hosts.end()) {
        return true;
    }
    auto const& state = found->second;
    if (now < state.ejected_until) {
        return false;
    }
    bool const needs_probe = state.ejections > 0 && state.consecutive_failures > 0;
    return !needs_probe || (idempotent && !state.probing);
}

double target_chooser::load_of(candidate_host const& candidate, time_point now) const {
    auto const found = this->hosts.find(candidate.host);
    double const limit = std::max<std::uint32_t>(1, candidate.limit);
    // The report may be outdated; the requests of this node are a lower bound for the host's load.
    double const reported = candidate.report_age < report_lifetime ? candidate.reported_in_flight : 0;
    if (found == this->hosts.end()) {
        return reported / limit + this->warm_up_penalty({}, now);
    }
    auto const& state = found->second;
    double const in_flight = std::max(reported, static_cast<double>(state.outstanding));
    double const refusals = state.refusals * std::exp(-((now - state.refusals_at) / refusal_time_constant));
    return in_flight / limit + refusal_cost * refusals + this->warm_up_penalty(state, now);
}

double target_chooser::warm_up_penalty(host_state const& state, time_point now) const {
    if (!this->warm_up.has_fixed_span) {
        return 0;
    }
    double const warm_fraction =
        state.is_new ? 0 : std::clamp((now - state.first_used) / warm_up_span, 0.0, 1.0);
    return cold_penalty * (1 - warm_fraction);
}

bool target_chooser::awaits_first_answer(std::string const& host, time_point now) const {
    auto const found = this->hosts.find(host);
    if (!this->warm_up.awaits_first_answer || found == this->hosts.end()) {
        return false;
    }
    auto const& state = found->second;
    return state.is_unproven && state.outstanding > 0 && now - state.first_used < first_answer_span;
}

candidate_host const* target_chooser::pick_less_loaded(std::vector<candidate_host const*> const& usable,
                                                       std::uint64_t random, time_point now) const {
    if (usable.empty()) {
        return nullptr;
    }
    auto const first = (random & 0xFFFF'FFFFU) % usable.size();
    auto const step = usable.size() > 1 ? 1 + (random >> 32U) % (usable.size() - 1) : 0;
    auto const second = (first + step) % usable.size();
    bool const keep_first = this->load_of(*usable[first], now) <= this->load_of(*usable[second], now);
    return keep_first ? usable[first] : usable[second];
}

std::optional<std::string> target_chooser::choose(std::vector<candidate_host> const& candidates,
                                                  bool idempotent, std::uint64_t random, time_point now) {
    std::vector<candidate_host const*> own_domain;
    std::vector<candidate_host const*> other_domains;
    // Where no host may be used, an ejected one may still answer: an overloaded service fails at all its
    // hosts. Requests that must not run twice wait for a host that has answered since.
    bool const uses_ejected =
        idempotent && std::ranges::none_of(candidates, [&](candidate_host const& candidate) {
            return this->may_use(candidate.host, idempotent, now);
        });
    auto const may_use = [&](candidate_host const& candidate) {
        return uses_ejected ? this->is_ejected(candidate.host, now)
                            : this->may_use(candidate.host, idempotent, now);
    };
    // Targets without room are used only when no other is left: the host beside the target then decides.
    bool const some_have_room = std::ranges::any_of(candidates, [&](candidate_host const& candidate) {
        return candidate.has_room && may_use(candidate);
    });
    bool const some_have_answered = std::ranges::any_of(candidates, [&](candidate_host const& candidate) {
        return (candidate.has_room || !some_have_room) && may_use(candidate) &&
               !this->awaits_first_answer(candidate.host, now);
    });
    for (auto const& candidate : candidates) {
        bool const is_preferred = (candidate.has_room || !some_have_room) &&
                                  !(some_have_answered && this->awaits_first_answer(candidate.host, now));
        if (is_preferred && may_use(candidate)) {
            (candidate.same_domain ? own_domain : other_domains).push_back(&candidate);
        }
    }
    auto const* own = this->pick_less_loaded(own_domain, random, now);
    auto const* other = this->pick_less_loaded(other_domains, random, now);
    if (own == nullptr || other == nullptr) {
        auto const* only = own != nullptr ? own : other;
        return only == nullptr ? std::nullopt : std::optional(only->host);
    }
    double const own_load = this->load_of(*own, now);
    bool const spill = own_load > spill_threshold && own_load > this->load_of(*other, now) + spill_margin;
    return spill ? other->host : own->host;
}

} // namespace caraway
