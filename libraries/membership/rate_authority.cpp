#include "membership/rate_authority.hpp"

#include "policy/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace caraway {

namespace {

/// A lender that does not answer within this span is passed over in this round.
constexpr duration ask_timeout{80};
constexpr duration min_dry_span{10};
constexpr duration max_dry_span{200};
/// Between two attempts to stock up when the own domain's pools are empty.
constexpr duration stock_pause{50};
/// A lender that did not answer is left out for this span.
constexpr duration avoid_span{2000};
/// The longest span a pool's hint is trusted for.
constexpr double max_retry_ms = 60'000;

/// What the owner of a pool is chosen by.
std::string subject_of(std::string const& organisation, std::uint8_t shard) {
    return organisation + '#' + std::to_string(shard);
}

} // namespace

rate_authority::rate_authority(std::string own_host, std::string own_domain, std::uint64_t own_incarnation,
                               lease_timing own_timing, time_point started, std::uint8_t pool_shards)
    : host(own_host), domain(std::move(own_domain)), incarnation(own_incarnation), timing(own_timing),
      shards(pool_shards), membership(std::move(own_host), own_timing, started) {}

void rate_authority::configure(std::unordered_map<std::string, rate_terms> own_terms, time_point now) {
    this->terms = std::move(own_terms);
    std::erase_if(this->pools,
                  [this](auto const& entry) { return !this->terms.contains(entry.second.organisation); });
    std::erase_if(this->borrowers, [this](auto const& entry) { return !this->terms.contains(entry.first); });
    for (auto& [subject, pool] : this->pools) {
        auto const& term = this->terms.at(pool.organisation);
        pool.pool.set_limit(term.rate / this->shards, term.burst / this->shards, now);
    }
}

void rate_authority::update_hosts(domain_hosts listed, time_point now) {
    this->hosts = std::move(listed);
    this->remote_lenders.clear();
    this->membership.update_list(this->hosts[this->domain], now);
}

bool rate_authority::admit(std::string const& organisation, std::size_t waiting, time_point now) {
    if (!this->terms.contains(organisation)) {
        return false;
    }
    auto& state = this->borrowers[organisation];
    state.leased.record_demand(now);
    // Those who wait were here first.
    bool admitted = waiting == 0 && state.leased.try_consume(now);
    if (admitted) {
        this->borrow(organisation, state, 0, now);
        return true;
    }
    this->borrow(organisation, state, waiting + 1, now);
    // An own pool answers at once, so the token may be here by now.
    admitted = waiting == 0 && state.leased.try_consume(now);
    return admitted;
}

bool rate_authority::admit_waiting(std::string const& organisation, time_point now) {
    auto const found = this->borrowers.find(organisation);
    return found != this->borrowers.end() && found->second.leased.try_consume(now);
}

bool rate_authority::is_dry(std::string const& organisation, time_point now) const {
    auto const found = this->borrowers.find(organisation);
    return found == this->borrowers.end() || now < found->second.dry_until;
}

duration rate_authority::dry_span(std::string const& organisation, time_point now) const {
    auto const found = this->borrowers.find(organisation);
    if (found == this->borrowers.end()) {
        return max_dry_span;
    }
    return std::max(duration{0}, found->second.dry_until - now);
}

void rate_authority::borrow(std::string const& organisation, borrower& state, std::size_t waiting,
                            time_point now) {
    auto const wanted = state.leased.shortage(now, waiting);
    bool const too_soon = now < state.dry_until || (waiting == 0 && now < state.next_stock);
    if (wanted <= 0 || state.sequence != 0 || too_soon) {
        return;
    }
    state.untried = this->lenders(organisation, state.rounds++, now);
    state.remote_count = static_cast<std::size_t>(
        std::ranges::count_if(state.untried, [](lender_address const& lender) { return lender.is_remote; }));
    state.supplied = false;
    state.shortest_wait = max_dry_span;
    this->waiting_hint = waiting;
    this->ask_next(organisation, state, wanted, now);
}

void rate_authority::ask_next(std::string const& organisation, borrower& state, token_amount wanted,
                              time_point now) {
    if (state.untried.empty()) {
        return this->end_round(state, now);
    }
    auto const next = state.untried.back();
    bool const is_remote = state.untried.size() <= state.remote_count;
    bool const is_urgent =
        state.leased.available(now) < static_cast<token_amount>(this->waiting_hint) * one_token;
    if (is_remote && !is_urgent) {
        // Other domains are asked for what is needed now, not for stock.
        state.sequence = 0;
        state.next_stock = now + stock_pause;
        return;
    }
    state.lender = next;
    state.untried.pop_back();
    state.sequence = this->next_sequence++;
    state.requested_at = now;
    token_request_message want{.organisation = organisation,
                               .shard = state.lender.shard,
                               .amount = wanted,
                               .sequence = state.sequence};
    this->add_reports(organisation, state, &want, now);
    this->send(state.lender.host, std::move(want), now);
}

void rate_authority::add_reports(std::string const& organisation, borrower& state,
                                 token_request_message* want, time_point now) {
    std::map<std::pair<std::string, std::uint8_t>, token_request_message> others;
    for (auto const& entry : state.leased.take_reports(now)) {
        bool const rides_along =
            want != nullptr && entry.pool_owner == state.lender.host && entry.shard == state.lender.shard;
        if (rides_along) {
            want->usages.push_back(entry.usage);
            continue;
        }
        auto& message = others[{entry.pool_owner, entry.shard}];
        message.organisation = organisation;
        message.shard = entry.shard;
        message.usages.push_back(entry.usage);
    }
    for (auto& [lender, message] : others) {
        this->send(lender.first, std::move(message), now);
    }
}

void rate_authority::end_round(borrower& state, time_point now) {
    state.sequence = 0;
    bool const is_short = state.leased.available(now) < one_token;
    if (!state.supplied && is_short) {
        state.dry_until = now + std::clamp(state.shortest_wait, min_dry_span, max_dry_span);
    }
}

std::vector<rate_authority::lender_address> rate_authority::lenders(std::string const& organisation,
                                                                    std::uint64_t round, time_point now) {
    auto const [entry, inserted] = this->remote_lenders.try_emplace(organisation);
    if (inserted) {
        entry->second = this->find_remote_lenders(organisation);
    }
    auto order = entry->second;
    // The own domain's pools are asked first, beginning with another one each round.
    for (std::uint8_t index = 0; index < this->shards; ++index) {
        auto const shard = static_cast<std::uint8_t>((round + index) % this->shards);
        order.push_back({this->membership.owner(subject_of(organisation, shard)), shard});
    }
    std::erase_if(order, [this, now](lender_address const& lender) {
        auto const found = this->avoided.find(lender.host);
        return found != this->avoided.end() && now < found->second;
    });
    return order;
}

std::vector<rate_authority::lender_address>
rate_authority::find_remote_lenders(std::string const& organisation) const {
    std::vector<lender_address> order;
    for (auto const& [name, listed] : this->hosts) {
        if (name == this->domain) {
            continue;
        }
        std::vector<std::string> const candidates(listed.begin(), listed.end());
        for (std::uint8_t shard = 0; shard < this->shards; ++shard) {
            for (auto const& name_of_host : rendezvous_top(candidates, subject_of(organisation, shard), 1)) {
                order.push_back({name_of_host, shard, true});
            }
        }
    }
    // A different order at every node spreads the borrowing over the domains.
    std::ranges::sort(order, [this](lender_address const& left, lender_address const& right) {
        return rendezvous_prefers(subject_of(left.host, left.shard), subject_of(right.host, right.shard),
                                  this->host);
    });
    return order;
}

void rate_authority::send(std::string const& to, lease_message content, time_point now) {
    if (to == this->host) {
        return this->receive(to, content, now);
    }
    this->letters.push_back({to, std::move(content)});
}

void rate_authority::receive(std::string const& from, lease_message const& content, time_point now) {
    if (auto const* want = std::get_if<token_request_message>(&content)) {
        return this->serve_want(from, *want, now);
    }
    if (auto const* grant = std::get_if<token_grant_message>(&content)) {
        return this->take_grant(from, *grant, now);
    }
    if (auto const* ask = std::get_if<membership_request_message>(&content)) {
        return this->serve_count(from, *ask, now);
    }
    auto const& answer = std::get<membership_reply_message>(content);
    this->membership.record_acknowledgement(from, answer.sequence, answer.was_member, answer.members, now);
}

void rate_authority::serve_want(std::string const& from, token_request_message const& want, time_point now) {
    auto* pool = this->own_pool(want.organisation, want.shard, now);
    if (pool != nullptr) {
        for (auto const& usage : want.usages) {
            pool->record_usage(usage, now);
        }
    }
    if (want.amount <= 0) {
        return;
    }
    token_grant_message grant{.organisation = want.organisation,
                              .valid_ms = this->timing.lease_span.milliseconds,
                              .retry_ms = max_dry_span.milliseconds,
                              .sequence = want.sequence};
    if (pool != nullptr) {
        grant.lease = this->next_loan++;
        auto const expires = now + this->timing.lease_span + this->timing.clock_margin;
        grant.amount = pool->grant(grant.lease, want.amount, now, expires);
        grant.retry_ms = std::min(pool->time_until_available(one_token, now).milliseconds, max_retry_ms);
    }
    this->send(from, grant, now);
}

rate_pool* rate_authority::own_pool(std::string const& organisation, std::uint8_t shard, time_point now) {
    auto const subject = subject_of(organisation, shard);
    auto const term = this->terms.find(organisation);
    bool const owned =
        shard < this->shards && term != this->terms.end() && this->membership.owns(subject, now);
    if (!owned) {
        return nullptr;
    }
    auto const usable_from = this->membership.usable_from(subject);
    auto const found = this->pools.find(subject);
    if (found != this->pools.end() && found->second.usable_from == usable_from) {
        return &found->second.pool;
    }
    // A new term of ownership: what a former one held is void, and the pool counts as minting since this one
    // began, not since the first request.
    owned_pool fresh{organisation, usable_from, rate_pool(usable_from)};
    fresh.pool.set_limit(term->second.rate / this->shards, term->second.burst / this->shards, usable_from);
    return &this->pools.insert_or_assign(subject, std::move(fresh)).first->second.pool;
}

void rate_authority::take_grant(std::string const& from, token_grant_message const& grant, time_point now) {
    auto const found = this->borrowers.find(grant.organisation);
    if (found == this->borrowers.end()) {
        return;
    }
    auto& state = found->second;
    if (state.sequence == 0 || state.sequence != grant.sequence || state.lender.host != from) {
        return;
    }
    auto const expires =
        state.requested_at + duration{std::min(grant.valid_ms, this->timing.lease_span.milliseconds)};
    if (grant.amount > 0 && now < expires) {
        state.leased.add_lease(from, state.lender.shard, grant.lease, grant.amount, expires);
        state.supplied = true;
        this->supplied.push_back(grant.organisation);
    }
    state.shortest_wait = std::min(state.shortest_wait, duration{std::max(0.0, grant.retry_ms)});
    this->continue_round(grant.organisation, state, now);
}

void rate_authority::continue_round(std::string const& organisation, borrower& state, time_point now) {
    auto const wanted = state.leased.shortage(now, this->waiting_hint);
    if (wanted <= 0) {
        state.sequence = 0;
        return;
    }
    this->ask_next(organisation, state, wanted, now);
}

void rate_authority::serve_count(std::string const& from, membership_request_message const& ask,
                                 time_point now) {
    if (ask.is_leaving) {
        return this->membership.record_departure(from, now);
    }
    auto const theirs = ask.members_digest;
    membership_reply_message answer{.sequence = ask.sequence,
                                    .was_member = this->membership.acknowledge(from, ask.incarnation, now)};
    if (theirs != this->membership.digest()) {
        answer.members = this->membership.members();
    }
    this->send(from, std::move(answer), now);
}

void rate_authority::tick(time_point now, std::unordered_map<std::string, std::size_t> const& waiting) {
    auto const requests = this->membership.make_due_requests(now);
    // The digest costs a hash of every member, so it is only made for a round that asks.
    auto const digest = requests.empty() ? 0 : this->membership.digest();
    for (auto const& request : requests) {
        this->send(request.host,
                   membership_request_message{.sequence = request.sequence,
                                              .incarnation = this->incarnation,
                                              .members_digest = digest},
                   now);
    }
    for (auto& [organisation, state] : this->borrowers) {
        if (state.sequence != 0 && now - state.requested_at > ask_timeout) {
            this->avoided[state.lender.host] = now + avoid_span;
            auto const found = waiting.find(organisation);
            this->waiting_hint = found == waiting.end() ? 0 : found->second;
            this->continue_round(organisation, state, now);
        }
        auto const found = waiting.find(organisation);
        this->borrow(organisation, state, found == waiting.end() ? 0 : found->second, now);
        this->add_reports(organisation, state, nullptr, now);
    }
    std::erase_if(this->avoided, [now](auto const& entry) { return now >= entry.second; });
    std::erase_if(this->borrowers, [now](auto const& entry) {
        return entry.second.sequence == 0 && entry.second.leased.is_expired(now);
    });
}

std::vector<outgoing_lease_message> rate_authority::take_letters() {
    return std::exchange(this->letters, {});
}

std::vector<std::string> rate_authority::take_supplied() {
    return std::exchange(this->supplied, {});
}

void rate_authority::leave(time_point now) {
    for (auto const& name : this->membership.leave()) {
        this->send(name, membership_request_message{.incarnation = this->incarnation, .is_leaving = true},
                   now);
    }
    this->pools.clear();
}

token_amount rate_authority::held(std::string const& organisation, time_point now) {
    auto const found = this->borrowers.find(organisation);
    return found == this->borrowers.end() ? 0 : found->second.leased.available(now);
}

std::optional<token_amount> rate_authority::lendable(std::string const& organisation, std::uint8_t shard,
                                                     time_point now) {
    auto* pool = this->own_pool(organisation, shard, now);
    return pool == nullptr ? std::nullopt : std::optional(pool->available(now));
}

token_amount rate_authority::outstanding() const {
    token_amount total = 0;
    for (auto const& [subject, pool] : this->pools) {
        total += pool.pool.outstanding();
    }
    return total;
}

} // namespace caraway
