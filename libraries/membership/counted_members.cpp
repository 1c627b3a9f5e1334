#include "membership/counted_members.hpp"

#include "base/digest.hpp"
#include "policy/rendezvous.hpp"

#include <algorithm>

namespace caraway {

namespace {

/// Enough for a renewal: any one of them suffices.
constexpr std::size_t renewals_at_once = 3;
constexpr std::size_t max_removals = 1024;
constexpr std::size_t max_pending = 8192;

} // namespace

counted_members::counted_members(std::string own_host, rights_timing limits, time_point start)
    : host(std::move(own_host)), timing(limits), started(start) {}

void counted_members::add(std::string const& name, bool listed, time_point now) {
    auto const [entry, inserted] = this->counted.try_emplace(name);
    if (!inserted) {
        entry->second.listed = entry->second.listed || listed;
        return;
    }
    entry->second.listed = listed;
    entry->second.unlisted_since = now;
}

void counted_members::remove(std::string const& name, time_point now) {
    if (this->counted.erase(name) == 0) {
        return;
    }
    this->removals.push_back({name, now});
    if (this->removals.size() > max_removals) {
        // The oldest removals are forgotten only by starting all rights anew.
        this->removals.clear();
        this->restart_join(now);
        this->kept_throughout = false;
    }
}

void counted_members::update_list(std::set<std::string> const& listed, time_point now) {
    this->self_listed = listed.contains(this->host);
    for (auto const& name : listed) {
        if (name != this->host) {
            // A listed host is counted before it asks: it may be acting already.
            this->add(name, true, now);
        }
    }
    for (auto& [name, entry] : this->counted) {
        if (entry.listed && !listed.contains(name)) {
            entry.listed = false;
            entry.unlisted_since = now;
        }
    }
    this->drop_lapsed(now);
    this->try_activate(now);
}

bool counted_members::count(std::string const& name, std::uint64_t incarnation, time_point now) {
    auto const found = this->counted.find(name);
    bool const known = found != this->counted.end() && found->second.incarnation == incarnation;
    this->add(name, false, now);
    auto& entry = this->counted[name];
    entry.incarnation = incarnation;
    if (!entry.listed) {
        entry.unlisted_since = now;
    }
    return known;
}

void counted_members::release(std::string const& name, time_point now) {
    this->remove(name, now);
}

std::vector<count_request> counted_members::due_requests(time_point now) {
    this->drop_lapsed(now);
    if (this->active && this->is_only_member() && !this->runs_steadily(now)) {
        // Nobody confirms the right of a lone host, so a pause ends it: a replacement may be acting by now.
        this->restart_join(now);
        this->kept_throughout = false;
        this->started = now;
    }
    this->last_round = now;
    std::vector<count_request> due;
    if (this->left || !this->self_listed) {
        return due;
    }
    if (this->active && now >= this->right_until && !this->is_only_member()) {
        // The right has lapsed: others may have gone on without this host, so all have to confirm again.
        this->restart_join(now);
    }
    if (!this->active && now < this->started + this->timing.start_span() - this->timing.ask_interval) {
        // Confirmations that come too early would have lapsed before they can be used.
        return due;
    }
    if (!this->active && now >= this->right_until) {
        this->confirm_anew(now);
    }
    std::vector<std::string> candidates;
    for (auto const& [name, entry] : this->counted) {
        bool const wanted = this->active || !entry.confirmed;
        if (wanted && now - entry.asked >= this->timing.ask_interval) {
            candidates.push_back(name);
        }
    }
    if (this->active && candidates.size() > renewals_at_once) {
        std::ranges::sort(candidates, {},
                          [this](std::string const& name) { return this->counted.at(name).asked; });
        candidates.resize(renewals_at_once);
    }
    for (auto const& name : candidates) {
        this->counted.at(name).asked = now;
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

void counted_members::confirm(std::string const& name, std::uint64_t sequence, bool was_counted,
                              std::vector<std::string> const& others, time_point now) {
    auto const request = this->pending.find(sequence);
    bool const expected = request != this->pending.end() && request->second.host == name;
    if (!expected || this->left) {
        return;
    }
    auto const asked = request->second.asked;
    this->pending.erase(request);
    for (auto const& other : others) {
        if (other != this->host) {
            this->add(other, false, now);
        }
    }
    auto const entry = this->counted.find(name);
    if (entry == this->counted.end()) {
        return;
    }
    if (this->active && !was_counted) {
        // The other had dropped this host: what it held may be owned by another by now.
        this->restart_join(now);
        this->kept_throughout = false;
    }
    entry->second.confirmed = true;
    if (!this->active && !was_counted) {
        this->kept_throughout = false;
    }
    this->right_until = std::max(this->right_until, asked + this->timing.right_span);
    this->try_activate(now);
}

void counted_members::restart_join(time_point now) {
    this->active = false;
    this->kept_throughout = true;
    this->pending.clear();
    this->right_until = now;
    this->confirm_anew(now);
}

void counted_members::confirm_anew(time_point now) {
    for (auto& [name, entry] : this->counted) {
        if (!entry.confirmed) {
            continue;
        }
        entry.confirmed = false;
        entry.asked = time_point{now.milliseconds - this->timing.ask_interval.milliseconds};
    }
}

void counted_members::try_activate(time_point now) {
    if (this->active || this->left || !this->self_listed) {
        return;
    }
    // A former incarnation of this host may have confirmed another's right, or lent, just before it died.
    if (now < this->started + this->timing.start_span()) {
        return;
    }
    bool const complete =
        std::ranges::all_of(this->counted, [](auto const& entry) { return entry.second.confirmed; });
    if (!complete || (!this->is_only_member() && now >= this->right_until)) {
        return;
    }
    this->active = true;
    bool const resumed = this->epoch_number > 0 && this->kept_throughout && !this->is_only_member();
    if (!resumed) {
        this->activated = now;
        ++this->epoch_number;
    }
    this->kept_throughout = true;
}

void counted_members::drop_lapsed(time_point now) {
    std::vector<std::string> lapsed;
    for (auto const& [name, entry] : this->counted) {
        if (!entry.listed && now - entry.unlisted_since >= this->timing.lapse_time) {
            lapsed.push_back(name);
        }
    }
    for (auto const& name : lapsed) {
        this->remove(name, now);
    }
}

bool counted_members::holds(time_point now) const {
    return this->active && !this->left && this->self_listed &&
           (this->is_only_member() ? this->runs_steadily(now) : now < this->right_until);
}

bool counted_members::is_settled(time_point now) const {
    return this->holds(now) && now >= this->activated + this->timing.hold_span();
}

bool counted_members::owns(std::string_view subject, time_point now) const {
    return this->holds(now) && std::ranges::all_of(this->counted, [&](auto const& entry) {
               return rendezvous_prefers(this->host, entry.first, subject);
           });
}

time_point counted_members::usable_from(std::string_view subject) const {
    auto begin = this->activated;
    for (auto const& entry : this->removals) {
        if (rendezvous_prefers(entry.host, this->host, subject)) {
            begin = std::max(begin, entry.at);
        }
    }
    return begin + this->timing.hold_span();
}

std::string counted_members::owner(std::string_view subject) const {
    // A host that has left owns nothing any more; the others choose without it.
    std::string best = this->left ? "" : this->host;
    for (auto const& [name, entry] : this->counted) {
        if (best.empty() || rendezvous_prefers(name, best, subject)) {
            best = name;
        }
    }
    return best;
}

std::vector<std::string> counted_members::members() const {
    std::vector<std::string> names{this->host};
    for (auto const& [name, entry] : this->counted) {
        names.push_back(name);
    }
    return names;
}

std::uint64_t counted_members::digest() const {
    std::uint64_t sum = 0;
    for (auto const& name : this->members()) {
        // A sum does not depend on the order.
        sum += fast_hash(name);
    }
    return sum;
}

std::vector<std::string> counted_members::leave() {
    this->left = true;
    this->active = false;
    std::vector<std::string> told;
    for (auto const& [name, entry] : this->counted) {
        told.push_back(name);
    }
    return told;
}

} // namespace caraway
