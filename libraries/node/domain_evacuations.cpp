#include "node/domain_evacuations.hpp"

#include "platform/document_revision.hpp"

#include <algorithm>

namespace caraway {

namespace {

/// Whoever writes to the platform writes again within two seconds of its return.
constexpr duration restore_grace{2200};
/// How long a withdrawal is remembered; a copy of the platform is some seconds old.
constexpr duration withdrawal_lifetime{120'000};

} // namespace

std::vector<evacuation_change> domain_evacuations::update(host_list const& list, time_point now) {
    auto const list_epoch = epoch_of(list.revision);
    if (this->has_list && list_epoch > this->epoch) {
        this->is_in_grace = true;
        this->grace_ends_at = now + restore_grace;
    }
    this->epoch = list_epoch;
    this->has_list = true;
    this->listed_domains = list.evacuated_domains;
    return this->evaluate(now);
}

std::vector<evacuation_change> domain_evacuations::run_periodic_tasks(time_point now) {
    bool const ends_now = this->is_in_grace && now >= this->grace_ends_at;
    return ends_now ? this->evaluate(now) : std::vector<evacuation_change>{};
}

bool domain_evacuations::is_kept_after_restore(std::string const& domain) const {
    return this->contains(domain) && std::ranges::find(this->listed_domains, domain,
                                                       &evacuated_domain::name) == this->listed_domains.end();
}

bool domain_evacuations::was_withdrawn_before(evacuated_domain const& listed) const {
    return std::ranges::any_of(this->withdrawals, [this, &listed](withdrawal const& entry) {
        return entry.domain == listed.name && epoch_of(entry.since) < this->epoch &&
               platform_revision_of(entry.since) == platform_revision_of(listed.since);
    });
}

std::vector<evacuation_change> domain_evacuations::evaluate(time_point now) {
    this->is_in_grace = this->is_in_grace && now < this->grace_ends_at;
    std::erase_if(this->withdrawals,
                  [now](withdrawal const& entry) { return now - entry.at >= withdrawal_lifetime; });
    std::map<std::string, state> wanted;
    for (auto const& entry : this->listed_domains) {
        if (!this->is_in_grace || !this->was_withdrawn_before(entry)) {
            wanted[entry.name] = {.since = entry.since, .in_force_since = now};
        }
    }
    std::vector<evacuation_change> changes;
    for (auto const& [name, entry] : this->domains) {
        auto const found = wanted.find(name);
        if (found != wanted.end()) {
            found->second.in_force_since = entry.in_force_since;
        } else if (this->is_in_grace && epoch_of(entry.since) < this->epoch) {
            wanted[name] = entry;
        } else {
            this->withdrawals.push_back({name, entry.since, now});
            changes.push_back({name, false, entry.since});
        }
    }
    for (auto const& [name, entry] : wanted) {
        if (!this->domains.contains(name)) {
            changes.push_back({name, true, entry.since});
        }
    }
    this->domains = std::move(wanted);
    return changes;
}

} // namespace caraway
