#include "membership/rate_lease_manager.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <utility>

namespace caraway {

namespace {

/// A pool owner that does not answer within this span is skipped in this round.
constexpr duration request_timeout{80};
constexpr duration min_exhausted_span{10};
constexpr duration max_exhausted_span{200};
/// Between two attempts to prefetch tokens when the pools of the own domain are empty.
constexpr duration prefetch_retry_span{50};
/// A pool owner that did not answer is not asked again for this span.
constexpr duration unresponsive_span{2000};
/// Upper bound for the wait until its next token that a pool reports to a lessee.
constexpr double max_retry_hint_ms = 60'000;
/// A pool that was taken over starts empty, without the burst that its organisation may have saved. For this
/// long its callers may use the reserve as well.
constexpr duration new_pool_span{5000};
/// How long tokens that count as consumed may be used after their request. Their pool refills meanwhile, so
/// this span times the rate is the most by which they can exceed the burst.
constexpr duration consumed_at_once_span{150};

/// Numbers of different incarnations of a host must not coincide: a report of the usage of a former
/// incarnation's lease would otherwise return tokens that were never taken from the new pool.
std::uint64_t first_number(std::uint64_t incarnation) {
    return fast_hash("first number", incarnation) | 1U;
}

} // namespace

bool rate_limit::has_pools_in(std::string const& domain) const {
    return this->pool_domains.empty() ||
           std::ranges::find(this->pool_domains, domain) != this->pool_domains.end();
}

rate_lease_manager::rate_lease_manager(std::string own_host, std::string own_domain,
                                       std::uint64_t own_incarnation, lease_timing own_timing,
                                       time_point started, std::uint8_t pool_shards)
    : host(own_host), domain(std::move(own_domain)), incarnation(own_incarnation), timing(own_timing),
      shards(pool_shards), membership(std::move(own_host), own_timing, started),
      next_sequence(first_number(own_incarnation)), next_lease(first_number(own_incarnation)) {}

void rate_lease_manager::configure(std::unordered_map<std::string, rate_limit> own_limits, time_point now) {
    this->limits = std::move(own_limits);
    this->remote_pools.clear();
    std::erase_if(this->pools, [this](auto const& entry) {
        auto const limit = this->limits.find(entry.second.organisation);
        return limit == this->limits.end() || this->pool_limit(limit->second, entry.second.shard).is_empty();
    });
    std::erase_if(this->lessees, [this](auto const& entry) { return !this->limits.contains(entry.first); });
    for (auto& [key, pool] : this->pools) {
        auto const limit = this->pool_limit(this->limits.at(pool.organisation), pool.shard);
        pool.pool.set_limit(limit.rate, limit.burst, now);
    }
}

rate_part rate_lease_manager::pool_limit(rate_limit const& limit, std::uint8_t shard) const {
    if (shard == reserve_shard) {
        return limit.reserve;
    }
    auto const count = this->shard_count(limit);
    return {limit.rate / count, limit.burst / count};
}

void rate_lease_manager::update_hosts(domain_hosts listed, time_point now) {
    this->hosts = std::move(listed);
    this->remote_pools.clear();
    this->membership.update_list(this->hosts[this->domain], now);
    auto const departure = this->membership.take_departure();
    if (!departure) {
        return;
    }
    for (auto const& name : departure->hosts) {
        this->send(name,
                   membership_request_message{
                       .sequence = departure->sequence, .incarnation = this->incarnation, .is_leaving = true},
                   now);
    }
    this->pools.clear();
}

bool rate_lease_manager::try_admit(std::string const& organisation, std::size_t waiting, time_point now) {
    if (!this->limits.contains(organisation)) {
        return false;
    }
    auto& state = this->lessees[organisation];
    state.leased.record_demand(now);
    // Queued requests arrived earlier and come first.
    bool admitted = waiting == 0 && state.leased.try_consume(now);
    if (admitted) {
        this->acquire(organisation, state, 0, now);
        return true;
    }
    this->acquire(organisation, state, waiting + 1, now);
    // A pool of this host answers at once, so a token may be available now.
    admitted = waiting == 0 && state.leased.try_consume(now);
    return admitted;
}

bool rate_lease_manager::try_admit_waiting(std::string const& organisation, time_point now) {
    auto const found = this->lessees.find(organisation);
    return found != this->lessees.end() && found->second.leased.try_consume(now);
}

bool rate_lease_manager::is_exhausted(std::string const& organisation, time_point now) const {
    auto const found = this->lessees.find(organisation);
    return found == this->lessees.end() || now < found->second.exhausted_until;
}

duration rate_lease_manager::time_until_token(std::string const& organisation, time_point now) const {
    auto const found = this->lessees.find(organisation);
    if (found == this->lessees.end()) {
        return max_exhausted_span;
    }
    return std::max({duration{0}, found->second.exhausted_until - now, found->second.next_token_at - now});
}

bool rate_lease_manager::is_unresponsive(std::string const& name, time_point now) const {
    auto const found = this->unresponsive.find(name);
    return found != this->unresponsive.end() && now < found->second;
}

bool rate_lease_manager::is_urgent(lessee_state& state, time_point now) {
    return state.leased.available(now) < static_cast<token_amount>(state.waiting) * one_token;
}

void rate_lease_manager::acquire(std::string const& organisation, lessee_state& state, std::size_t waiting,
                                 time_point now) {
    auto const wanted = state.leased.shortage(now, waiting);
    bool const too_soon = now < state.exhausted_until || (waiting == 0 && now < state.next_prefetch);
    if (wanted <= 0 || state.sequence != 0 || too_soon) {
        return;
    }
    state.untried_pools = this->list_pools(organisation, state.round_count++);
    state.waiting = waiting;
    state.received_grant = false;
    state.has_lost_pool = false;
    state.asked_reserve = false;
    state.answers.clear();
    state.shortest_wait = {max_retry_hint_ms};
    this->request_from_next_pool(organisation, state, wanted, now);
}

void rate_lease_manager::request_from_next_pool(std::string const& organisation, lessee_state& state,
                                                token_amount wanted, time_point now) {
    bool const urgent = is_urgent(state, now);
    while (!state.untried_pools.empty() && this->is_unresponsive(state.untried_pools.back().host, now)) {
        auto const next = this->runner_up(organisation, state.untried_pools.back());
        state.untried_pools.pop_back();
        if (next) {
            state.untried_pools.push_back(*next);
        } else {
            state.has_lost_pool = true;
        }
    }
    bool const needs_reserve =
        state.untried_pools.empty() && urgent && state.has_lost_pool && !state.asked_reserve;
    if (needs_reserve && !this->limits.at(organisation).reserve.is_empty()) {
        state.asked_reserve = true;
        state.untried_pools.push_back(
            {this->membership.owner(pool_key(organisation, reserve_shard)), this->domain, reserve_shard});
        return this->request_from_next_pool(organisation, state, wanted, now);
    }
    if (state.untried_pools.empty()) {
        return this->end_round(state, now);
    }
    if (state.untried_pools.back().domain != this->domain && !urgent) {
        // Pools of other failure domains are only asked for immediate demand, not for prefetching.
        state.sequence = 0;
        state.next_prefetch = now + prefetch_retry_span;
        return;
    }
    state.asked_pool = std::move(state.untried_pools.back());
    state.untried_pools.pop_back();
    state.sequence = this->next_sequence++;
    state.requested_at = now;
    auto const needed = static_cast<token_amount>(state.waiting) * one_token - state.leased.available(now);
    auto const consumed = this->timing.tolerates_takeover ? std::clamp<token_amount>(needed, 0, wanted) : 0;
    token_request_message request{.organisation = organisation,
                                  .shard = state.asked_pool.shard,
                                  .amount = wanted,
                                  .consumed_at_once = consumed,
                                  .sequence = state.sequence};
    this->report_usage(organisation, state, &request, now);
    auto const to = state.asked_pool.host;
    this->send(to, std::move(request), now);
}

void rate_lease_manager::report_usage(std::string const& organisation, lessee_state& state,
                                      token_request_message* request, time_point now) {
    std::map<std::pair<std::string, std::uint8_t>, token_request_message> others;
    for (auto const& entry : state.leased.take_reports(now)) {
        bool const fits_request = request != nullptr && entry.pool_owner == state.asked_pool.host &&
                                  entry.shard == state.asked_pool.shard;
        if (fits_request) {
            request->usages.push_back(entry.usage);
            continue;
        }
        auto& message = others[{entry.pool_owner, entry.shard}];
        message.organisation = organisation;
        message.shard = entry.shard;
        message.usages.push_back(entry.usage);
    }
    for (auto& [pool, message] : others) {
        this->send(pool.first, std::move(message), now);
    }
}

void rate_lease_manager::end_round(lessee_state& state, time_point now) {
    state.sequence = 0;
    bool const is_short = state.leased.available(now) < one_token;
    if (!state.received_grant && is_short) {
        state.exhausted_until = now + std::clamp(state.shortest_wait, min_exhausted_span, max_exhausted_span);
        // Without any answer nothing is known about the pools' refill.
        state.last_shortage = std::exchange(state.answers, {});
        bool const is_known = state.shortest_wait.milliseconds < max_retry_hint_ms;
        state.next_token_at = is_known ? now + state.shortest_wait : state.exhausted_until;
    }
}

void rate_lease_manager::fail_over(std::string const& organisation, lessee_state& state, time_point now) {
    if (auto next = this->runner_up(organisation, state.asked_pool)) {
        state.untried_pools.push_back(std::move(*next));
    } else {
        state.has_lost_pool = true;
    }
    this->continue_round(organisation, state, now);
}

void rate_lease_manager::send(std::string const& to, lease_message content, time_point now) {
    if (to == this->host) {
        return this->receive(to, content, now);
    }
    this->outgoing_messages.push_back({to, std::move(content)});
}

std::span<pool_answer const> rate_lease_manager::last_shortage(std::string const& organisation) const {
    auto const found = this->lessees.find(organisation);
    return found == this->lessees.end() ? std::span<pool_answer const>{}
                                        : std::span<pool_answer const>(found->second.last_shortage);
}

void rate_lease_manager::note_shortage(lessee_state& state, pool_shortage reason, duration next_token,
                                       time_point now) {
    auto const& asked = state.asked_pool;
    state.answers.push_back({asked.host, asked.domain, asked.shard, reason, next_token, now});
}

void rate_lease_manager::receive(std::string const& from, lease_message const& content, time_point now) {
    if (auto const* request = std::get_if<token_request_message>(&content)) {
        return this->handle_token_request(from, *request, now);
    }
    if (auto const* grant = std::get_if<token_grant_message>(&content)) {
        return this->handle_grant(from, *grant, now);
    }
    if (auto const* ask = std::get_if<membership_request_message>(&content)) {
        return this->handle_membership_request(from, *ask, now);
    }
    auto const& answer = std::get<membership_reply_message>(content);
    this->membership.on_acknowledged_by(from, answer.sequence, {answer.was_member, answer.is_first},
                                        answer.members, now);
}

void rate_lease_manager::handle_token_request(std::string const& from, token_request_message const& request,
                                              time_point now) {
    auto* pool = this->own_pool(request.organisation, request.shard, now);
    if (pool != nullptr) {
        for (auto const& usage : request.usages) {
            pool->record_usage(usage, now);
        }
    }
    if (request.amount <= 0) {
        return;
    }
    token_grant_message grant{.organisation = request.organisation,
                              .valid_ms = this->timing.lease_span.milliseconds,
                              .retry_ms = max_exhausted_span.milliseconds,
                              .sequence = request.sequence,
                              .is_owner = pool != nullptr};
    if (pool != nullptr) {
        auto const at_once = std::clamp<token_amount>(request.consumed_at_once, 0,
                                                      this->timing.tolerates_takeover ? request.amount : 0);
        grant.is_new =
            now - this->membership.usable_from(pool_key(request.organisation, request.shard)) < new_pool_span;
        grant.consumed_at_once = pool->consume(at_once, now);
        grant.lease = this->next_lease++;
        auto const expires = now + this->timing.lease_span + this->timing.clock_margin;
        bool const is_emptied = grant.consumed_at_once < at_once;
        grant.amount = grant.consumed_at_once +
                       (is_emptied ? 0 : pool->grant(grant.lease, request.amount - at_once, now, expires));
        grant.retry_ms = std::min(pool->time_until_available(one_token, now).milliseconds, max_retry_hint_ms);
    }
    this->send(from, grant, now);
}

rate_pool* rate_lease_manager::own_pool(std::string const& organisation, std::uint8_t shard, time_point now) {
    auto const key = pool_key(organisation, shard);
    auto const limit = this->limits.find(organisation);
    bool const exists = limit != this->limits.end() &&
                        (shard < this->shard_count(limit->second) || shard == reserve_shard) &&
                        !this->pool_limit(limit->second, shard).is_empty();
    if (!exists || !this->membership.owns(key, now)) {
        return nullptr;
    }
    auto const usable_from = this->membership.usable_from(key);
    auto const found = this->pools.find(key);
    if (found != this->pools.end() && found->second.usable_from == usable_from) {
        return &found->second.pool;
    }
    // A new period of ownership: the former pool is void, and the new one refills from the start of the
    // period, not from the first request.
    owned_pool fresh{organisation, shard, usable_from, rate_pool(usable_from)};
    auto const part = this->pool_limit(limit->second, shard);
    fresh.pool.set_limit(part.rate, part.burst, usable_from);
    return &this->pools.insert_or_assign(key, std::move(fresh)).first->second.pool;
}

void rate_lease_manager::handle_grant(std::string const& from, token_grant_message const& grant,
                                      time_point now) {
    auto const found = this->lessees.find(grant.organisation);
    if (found == this->lessees.end()) {
        return;
    }
    auto& state = found->second;
    if (state.sequence == 0 || state.sequence != grant.sequence || state.asked_pool.host != from) {
        return;
    }
    state.has_lost_pool = state.has_lost_pool || grant.is_new;
    if (!grant.is_owner) {
        note_shortage(state, pool_shortage::unowned, {0}, now);
        return this->fail_over(grant.organisation, state, now);
    }
    auto const expires =
        state.requested_at + duration{std::min(grant.valid_ms, this->timing.lease_span.milliseconds)};
    auto const consumed = std::clamp<token_amount>(grant.consumed_at_once, 0, grant.amount);
    if (consumed > 0 && now < state.requested_at + consumed_at_once_span) {
        state.leased.add_consumed(consumed, state.requested_at + consumed_at_once_span);
    }
    if (grant.amount > consumed && now < expires) {
        state.leased.add_lease(from, state.asked_pool.shard, grant.lease, grant.amount - consumed, expires);
    }
    if (state.leased.available(now) >= one_token) {
        state.received_grant = true;
        this->refilled_organisations.push_back(grant.organisation);
    } else {
        auto const reason = grant.is_new ? pool_shortage::new_pool : pool_shortage::empty;
        note_shortage(state, reason, {std::max(0.0, grant.retry_ms)}, now);
    }
    state.shortest_wait = std::min(state.shortest_wait, duration{std::max(0.0, grant.retry_ms)});
    this->continue_round(grant.organisation, state, now);
}

void rate_lease_manager::continue_round(std::string const& organisation, lessee_state& state,
                                        time_point now) {
    auto const wanted = state.leased.shortage(now, state.waiting);
    if (wanted <= 0) {
        state.sequence = 0;
        return;
    }
    this->request_from_next_pool(organisation, state, wanted, now);
}

void rate_lease_manager::handle_membership_request(std::string const& from,
                                                   membership_request_message const& ask, time_point now) {
    if (ask.is_leaving) {
        return ask.sequence == 0
                   ? this->membership.record_departure(from, now)
                   : this->membership.record_unlisting(from, ask.incarnation, ask.sequence, now);
    }
    auto const theirs = ask.members_digest;
    auto const reply = this->membership.acknowledge_host(from, ask.incarnation, ask.sequence, now);
    membership_reply_message answer{
        .sequence = ask.sequence, .was_member = reply.was_member, .is_first = reply.is_first};
    if (theirs != this->membership.digest()) {
        answer.members = this->membership.members();
    }
    this->send(from, std::move(answer), now);
}

void rate_lease_manager::run_periodic_tasks(time_point now,
                                            std::unordered_map<std::string, std::size_t> const& waiting) {
    auto const requests = this->membership.make_due_requests(now);
    // The digest hashes every member, so it is only computed when there are requests to send.
    auto const digest = requests.empty() ? 0 : this->membership.digest();
    for (auto const& request : requests) {
        this->send(request.host,
                   membership_request_message{.sequence = request.sequence,
                                              .incarnation = this->incarnation,
                                              .members_digest = digest},
                   now);
    }
    for (auto& [organisation, state] : this->lessees) {
        if (state.sequence != 0 && now - state.requested_at > request_timeout) {
            this->unresponsive[state.asked_pool.host] = now + unresponsive_span;
            auto const found = waiting.find(organisation);
            state.waiting = found == waiting.end() ? 0 : found->second;
            note_shortage(state, pool_shortage::silent, {0}, now);
            this->fail_over(organisation, state, now);
        }
        auto const found = waiting.find(organisation);
        this->acquire(organisation, state, found == waiting.end() ? 0 : found->second, now);
        this->report_usage(organisation, state, nullptr, now);
    }
    std::erase_if(this->unresponsive, [now](auto const& entry) { return now >= entry.second; });
    std::erase_if(this->lessees, [now](auto const& entry) {
        return entry.second.sequence == 0 && entry.second.leased.is_expired(now);
    });
}

std::vector<outgoing_lease_message> rate_lease_manager::take_outgoing_messages() {
    return std::exchange(this->outgoing_messages, {});
}

std::vector<std::string> rate_lease_manager::take_refilled_organisations() {
    return std::exchange(this->refilled_organisations, {});
}

void rate_lease_manager::leave(time_point now) {
    for (auto const& name : this->membership.leave()) {
        this->send(name, membership_request_message{.incarnation = this->incarnation, .is_leaving = true},
                   now);
    }
    this->pools.clear();
}

token_amount rate_lease_manager::available_tokens(std::string const& organisation, time_point now) {
    auto const found = this->lessees.find(organisation);
    return found == this->lessees.end() ? 0 : found->second.leased.available(now);
}

std::optional<token_amount> rate_lease_manager::grantable_tokens(std::string const& organisation,
                                                                 std::uint8_t shard, time_point now) {
    auto* pool = this->own_pool(organisation, shard, now);
    return pool == nullptr ? std::nullopt : std::optional(pool->available(now));
}

token_amount rate_lease_manager::outstanding() const {
    token_amount total = 0;
    for (auto const& [key, pool] : this->pools) {
        total += pool.pool.outstanding();
    }
    return total;
}

} // namespace caraway
