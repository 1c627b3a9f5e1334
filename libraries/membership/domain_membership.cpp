#include "membership/domain_membership.hpp"

#include "base/digest.hpp"
#include "policy/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace caraway {

namespace {

/// Any single acknowledgement renews the membership, so one host is asked in each round. Several are asked
/// when the newest acknowledgement is older than half its span, because the former rounds were not answered.
constexpr std::size_t renewals_per_round = 1;
constexpr std::size_t late_renewals_per_round = 4;
constexpr std::size_t max_removals = 1024;
constexpr std::size_t max_pending = 8192;

} // namespace

domain_membership::domain_membership(std::string own_host, lease_timing own_timing, time_point start)
    : host(std::move(own_host)), timing(own_timing), started(start) {}

void domain_membership::add_member(std::string const& name, bool listed, time_point now) {
    auto const [entry, inserted] = this->other_members.try_emplace(name);
    if (!inserted) {
        entry->second.listed = entry->second.listed || listed;
        return;
    }
    entry->second.listed = listed;
    entry->second.unlisted_since = now;
}

void domain_membership::remove_member(std::string const& name, time_point now) {
    if (this->other_members.erase(name) == 0) {
        return;
    }
    this->removals.push_back({name, now});
    if (this->removals.size() > max_removals) {
        // Removals delay the takeover of pools (usable_from), so they may only be dropped together with all
        // ownership.
        this->removals.clear();
        this->restart_join(now);
        this->was_member_throughout = false;
    }
}

void domain_membership::update_list(std::set<std::string> const& listed, time_point now) {
    bool const was_listed = std::exchange(this->self_listed, listed.contains(this->host));
    for (auto const& name : listed) {
        if (name != this->host) {
            if (!this->other_members.contains(name)) {
                this->departures.erase(name);
            }
            // A listed host is a member before it asks: it may already own pools.
            this->add_member(name, true, now);
        }
    }
    for (auto& [name, entry] : this->other_members) {
        if (entry.listed && !listed.contains(name)) {
            entry.listed = false;
            entry.unlisted_since = now;
        }
    }
    this->remove_lapsed(now);
    if (was_listed && !this->self_listed) {
        this->depart(now);
    }
    this->try_activate(now);
}

void domain_membership::depart(time_point now) {
    if (!this->timing.tolerates_takeover || this->has_left) {
        return;
    }
    this->restart_join(now);
    this->was_member_throughout = false;
    departure_notice notice{.sequence = this->next_sequence++};
    for (auto const& [name, entry] : this->other_members) {
        notice.hosts.push_back(name);
    }
    this->own_departure = std::move(notice);
}

std::optional<departure_notice> domain_membership::take_departure() {
    return std::exchange(this->own_departure, std::nullopt);
}

bool domain_membership::has_removed(std::string const& name) const {
    return std::ranges::find(this->removals, name, &removal::host) != this->removals.end();
}

acknowledgement domain_membership::acknowledge_host(std::string const& name, std::uint64_t incarnation,
                                                    std::uint64_t sequence, time_point now) {
    auto const departed = this->departures.find(name);
    if (departed != this->departures.end()) {
        bool const is_outdated =
            departed->second.incarnation == incarnation && sequence < departed->second.sequence;
        if (is_outdated) {
            return {};
        }
        this->departures.erase(departed);
    }
    auto const found = this->other_members.find(name);
    bool const is_known = found != this->other_members.end();
    acknowledgement const reply{.was_member = is_known && found->second.incarnation == incarnation,
                                .is_first =
                                    is_known && found->second.incarnation == 0 && !this->has_removed(name)};
    this->add_member(name, false, now);
    auto& entry = this->other_members[name];
    entry.sequence = entry.incarnation == incarnation ? std::max(entry.sequence, sequence) : sequence;
    entry.incarnation = incarnation;
    if (!entry.listed) {
        entry.unlisted_since = now;
    }
    return reply;
}

void domain_membership::record_departure(std::string const& name, time_point now) {
    this->remove_member(name, now);
}

void domain_membership::record_unlisting(std::string const& name, std::uint64_t incarnation,
                                         std::uint64_t sequence, time_point now) {
    auto const found = this->other_members.find(name);
    if (found == this->other_members.end()) {
        return;
    }
    auto const& entry = found->second;
    bool const is_outdated =
        entry.incarnation != 0 && (entry.incarnation != incarnation || sequence < entry.sequence);
    if (!is_outdated) {
        this->departures[name] = {incarnation, sequence, now};
        this->remove_lapsed(now);
    }
}

std::vector<acknowledgement_request> domain_membership::make_due_requests(time_point now) {
    this->remove_lapsed(now);
    if (this->active && this->is_only_member() && !this->runs_without_pause(now)) {
        // Nobody acknowledges a lone host, so a pause of the process ends its ownership: a replacement may
        // own its pools by now.
        this->restart_join(now);
        this->was_member_throughout = false;
        this->started = now;
    }
    this->last_request_round = now;
    std::vector<acknowledgement_request> due;
    if (this->has_left || !this->self_listed) {
        return due;
    }
    if (this->active && now >= this->acknowledged_until && !this->is_only_member()) {
        // The acknowledgement has expired: others may have removed this host, so all have to acknowledge it
        // again.
        this->restart_join(now);
    }
    if (!this->active &&
        now < this->started + this->timing.startup_delay() - this->timing.acknowledgement_interval) {
        // Acknowledgements obtained earlier could expire before the startup delay is over.
        return due;
    }
    if (!this->active && now >= this->acknowledged_until) {
        this->reset_acknowledgements(now);
    }
    if (this->active && now - this->last_renewal < this->timing.acknowledgement_interval) {
        return due;
    }
    std::vector<std::string> candidates;
    for (auto const& [name, entry] : this->other_members) {
        bool const wanted = this->active || !entry.acknowledged;
        if (wanted && now - entry.requested_at >= this->timing.acknowledgement_interval) {
            candidates.push_back(name);
        }
    }
    bool const is_late = this->acknowledged_until - now < this->timing.acknowledgement_span * 0.5;
    auto const most = is_late ? late_renewals_per_round : renewals_per_round;
    if (this->active && candidates.size() > most) {
        std::ranges::sort(candidates, {}, [this](std::string const& name) {
            return this->other_members.at(name).requested_at;
        });
        candidates.resize(most);
    }
    this->last_renewal = now;
    for (auto const& name : candidates) {
        this->other_members.at(name).requested_at = now;
        auto const sequence = this->next_sequence++;
        this->pending[sequence] = {name, now};
        due.push_back({name, sequence});
    }
    while (this->pending.size() > max_pending) {
        this->pending.erase(this->pending.begin());
    }
    this->try_activate(now);
    return due;
}

void domain_membership::on_acknowledged_by(std::string const& name, std::uint64_t sequence,
                                           acknowledgement reply,
                                           std::vector<std::string> const& reported_members, time_point now) {
    auto const request = this->pending.find(sequence);
    bool const expected = request != this->pending.end() && request->second.host == name;
    if (!expected || this->has_left) {
        return;
    }
    auto const requested_at = request->second.requested_at;
    this->pending.erase(request);
    for (auto const& other : reported_members) {
        // Others may not have heard yet of a departure.
        if (other != this->host && !this->departures.contains(other)) {
            this->add_member(other, false, now);
        }
    }
    auto const entry = this->other_members.find(name);
    if (entry == this->other_members.end()) {
        return;
    }
    if (this->active && !reply.was_member && !reply.is_first) {
        // The other host had removed this one, so another host may own its pools by now.
        this->restart_join(now);
        this->was_member_throughout = false;
    }
    entry->second.acknowledged = true;
    if (!this->active && !reply.was_member) {
        this->was_member_throughout = false;
    }
    this->acknowledged_until =
        std::max(this->acknowledged_until, requested_at + this->timing.acknowledgement_span);
    this->try_activate(now);
}

void domain_membership::restart_join(time_point now) {
    this->active = false;
    this->was_member_throughout = true;
    this->pending.clear();
    this->acknowledged_until = now;
    this->reset_acknowledgements(now);
}

void domain_membership::reset_acknowledgements(time_point now) {
    for (auto& [name, entry] : this->other_members) {
        if (!entry.acknowledged) {
            continue;
        }
        entry.acknowledged = false;
        entry.requested_at =
            time_point{now.milliseconds - this->timing.acknowledgement_interval.milliseconds};
    }
}

void domain_membership::try_activate(time_point now) {
    if (this->active || this->has_left || !this->self_listed) {
        return;
    }
    // A former incarnation of this host may have acknowledged another host or granted leases just before it
    // ended.
    if (now < this->started + this->timing.startup_delay()) {
        return;
    }
    bool const complete =
        std::ranges::all_of(this->other_members, [](auto const& entry) { return entry.second.acknowledged; });
    if (!complete || (!this->is_only_member() && now >= this->acknowledged_until)) {
        return;
    }
    this->active = true;
    bool const resumed = this->epoch_number > 0 && this->was_member_throughout && !this->is_only_member();
    if (!resumed) {
        this->active_since = now;
        ++this->epoch_number;
    }
    this->was_member_throughout = true;
}

void domain_membership::remove_lapsed(time_point now) {
    std::erase_if(this->departures, [this, now](auto const& entry) {
        return now - entry.second.at >= this->timing.lapse_span;
    });
    std::vector<std::string> lapsed;
    for (auto const& [name, entry] : this->other_members) {
        bool const is_gone = now - entry.unlisted_since >= this->timing.lapse_span;
        if (!entry.listed && (is_gone || this->departures.contains(name))) {
            lapsed.push_back(name);
        }
    }
    for (auto const& name : lapsed) {
        this->remove_member(name, now);
    }
}

bool domain_membership::may_own_pools(time_point now) const {
    return this->active && !this->has_left && this->self_listed &&
           (this->is_only_member() ? this->runs_without_pause(now) : now < this->acknowledged_until);
}

bool domain_membership::has_passed_takeover_delay(time_point now) const {
    return this->may_own_pools(now) && now >= this->active_since + this->timing.takeover_delay();
}

bool domain_membership::owns(std::string_view key, time_point now) const {
    return this->may_own_pools(now) && std::ranges::all_of(this->other_members, [&](auto const& entry) {
               return rendezvous_prefers(this->host, entry.first, key);
           });
}

time_point domain_membership::usable_from(std::string_view key) const {
    auto usable_since = this->active_since;
    for (auto const& entry : this->removals) {
        if (rendezvous_prefers(entry.host, this->host, key)) {
            usable_since = std::max(usable_since, entry.at);
        }
    }
    return usable_since + this->timing.takeover_delay();
}

std::string domain_membership::owner(std::string_view key) const {
    std::string best = this->is_candidate() ? this->host : "";
    for (auto const& [name, entry] : this->other_members) {
        if (best.empty() || rendezvous_prefers(name, best, key)) {
            best = name;
        }
    }
    return best;
}

std::vector<std::string> domain_membership::preferred_owners(std::string_view key, std::size_t count) const {
    auto candidates = this->members();
    if (!this->is_candidate()) {
        std::erase(candidates, this->host);
    }
    return rendezvous_top(candidates, key, count);
}

std::vector<std::string> domain_membership::members() const {
    std::vector<std::string> names{this->host};
    for (auto const& [name, entry] : this->other_members) {
        names.push_back(name);
    }
    return names;
}

std::uint64_t domain_membership::digest() const {
    std::uint64_t sum = 0;
    for (auto const& name : this->members()) {
        // The sum is independent of the order.
        sum += fast_hash(name);
    }
    return sum;
}

std::vector<std::string> domain_membership::leave() {
    this->has_left = true;
    this->active = false;
    std::vector<std::string> to_notify;
    for (auto const& [name, entry] : this->other_members) {
        to_notify.push_back(name);
    }
    return to_notify;
}

} // namespace caraway
