#include "policy/target_state_table.hpp"

#include "base/digest.hpp"
#include "policy/target_rate_limiter.hpp"

#include <algorithm>
#include <utility>

namespace caraway {

namespace {

/// The parts of all senders add up to more than the limit, since not every sender uses its own. The host
/// beside the target refuses the excess.
constexpr double share_surplus = 1.3;
constexpr duration saved_span{100};
/// Older knowledge is not passed on, and dropped.
constexpr duration state_lifetime{60'000};

} // namespace

target_id make_target_id(std::string const& host, std::string const& instance, std::uint64_t started_ms) {
    auto const hash = fast_hash(host + '\n' + instance + '\n' + std::to_string(started_ms));
    return std::max(target_id{1}, static_cast<target_id>(hash));
}

void target_state_table::record_report(target_id target, target_state const& reported) {
    if (target != 0) {
        this->targets[target].state = reported;
    }
}

void target_state_table::merge(target_id target, target_state const& heard, time_point now) {
    bool const is_usable = target != 0 && now - heard.updated < state_lifetime;
    if (!is_usable) {
        return;
    }
    auto const [known, inserted] = this->targets.try_emplace(target);
    if (inserted || heard.updated > known->second.state.updated) {
        known->second.state = heard;
    }
}

void target_state_table::record_cold(target_id target, time_point until, std::uint32_t sender_count,
                                     time_point now) {
    if (target == 0) {
        return;
    }
    auto const [known, inserted] = this->targets.try_emplace(target);
    auto& state = known->second.state;
    state.cold_until = std::max(state.cold_until, until);
    state.sender_count = std::max(state.sender_count, sender_count);
    if (inserted) {
        state.updated = now;
    }
}

void target_state_table::configure_cold_rates(std::unordered_map<target_id, double> rates) {
    this->cold_rates = std::move(rates);
}

std::optional<double> target_state_table::accepted_rate(target_id target, target_state const& state,
                                                        time_point now) const {
    auto const cold = now < state.cold_until ? this->cold_rates.find(target) : this->cold_rates.end();
    if (cold == this->cold_rates.end()) {
        return state.rate_limit;
    }
    return std::min(cold->second, state.rate_limit.value_or(cold->second));
}

double target_state_table::tokens_at(target_id target, entry const& known, time_point now) const {
    double const rate = this->accepted_rate(target, known.state, now).value_or(0);
    double const share = std::max(rate, min_target_pace) * share_surplus /
                         std::max<std::uint32_t>(1, known.state.sender_count);
    double const capacity = std::max(1.0, share * saved_span.seconds());
    return std::min(capacity,
                    known.tokens + share * std::max(duration{0}, now - known.refilled_at).seconds());
}

bool target_state_table::has_room(target_id target, time_point now) const {
    auto const found = this->targets.find(target);
    bool const is_limited =
        found != this->targets.end() && this->accepted_rate(target, found->second.state, now);
    return !is_limited || this->tokens_at(target, found->second, now) >= 1;
}

void target_state_table::record_sent(target_id target, time_point now) {
    auto const found = this->targets.find(target);
    if (found != this->targets.end() && this->accepted_rate(target, found->second.state, now)) {
        found->second.tokens = std::max(0.0, this->tokens_at(target, found->second, now) - 1);
        found->second.refilled_at = now;
    }
}

void target_state_table::record_refusal(target_id target, time_point now) {
    auto const found = this->targets.find(target);
    if (found != this->targets.end()) {
        found->second.tokens = 0;
        found->second.refilled_at = now;
    }
}

std::optional<double> target_state_table::rate_limit(target_id target) const {
    auto const* state = this->find(target);
    return state == nullptr ? std::nullopt : state->rate_limit;
}

std::optional<double> target_state_table::accepted_rate(target_id target, time_point now) const {
    auto const* state = this->find(target);
    return state == nullptr ? std::nullopt : this->accepted_rate(target, *state, now);
}

duration target_state_table::cold_for(target_id target, time_point now) const {
    auto const* state = this->find(target);
    bool const may_be_cold = state != nullptr && this->cold_rates.contains(target);
    return may_be_cold ? std::max(duration{0}, state->cold_until - now) : duration{0};
}

bool target_state_table::is_leaving(target_id target) const {
    auto const* state = this->find(target);
    return state != nullptr && state->leaving;
}

target_state const* target_state_table::find(target_id target) const {
    auto const found = this->targets.find(target);
    return found == this->targets.end() ? nullptr : &found->second.state;
}

std::vector<std::pair<target_id, target_state>> target_state_table::restricted_targets(time_point now) const {
    std::vector<std::pair<target_id, target_state>> restricted;
    for (auto const& [target, known] : this->targets) {
        bool const is_restricted =
            known.state.rate_limit || known.state.leaving || this->cold_for(target, now) > duration{0};
        if (is_restricted && now - known.state.updated < state_lifetime) {
            restricted.emplace_back(target, known.state);
        }
    }
    return restricted;
}

void target_state_table::remove_expired(time_point now) {
    std::erase_if(this->targets,
                  [now](auto const& known) { return now - known.second.state.updated >= state_lifetime; });
}

} // namespace caraway
