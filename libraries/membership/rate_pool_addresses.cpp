/// Which hosts a node asks for the tokens of an organisation, and in which order.

#include "membership/rate_lease_manager.hpp"

#include "policy/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace caraway {

std::string_view name_of(pool_shortage reason) {
    switch (reason) {
    case pool_shortage::silent:
        return "silent";
    case pool_shortage::unowned:
        return "unowned";
    case pool_shortage::new_pool:
        return "new";
    case pool_shortage::empty:
        break;
    }
    return "empty";
}

std::string rate_lease_manager::pool_key(std::string const& organisation, std::uint8_t shard) {
    return organisation + '#' + std::to_string(shard);
}

std::vector<rate_lease_manager::pool_address> rate_lease_manager::list_pools(std::string const& organisation,
                                                                             std::uint64_t round) {
    auto const [entry, inserted] = this->remote_pools.try_emplace(organisation);
    if (inserted) {
        entry->second = this->find_remote_pools(organisation);
    }
    auto order = entry->second;
    if (!this->limits.at(organisation).has_pools_in(this->domain)) {
        return order;
    }
    // The pools are asked from the end: those of the own domain first, starting with another shard in each
    // round.
    auto const count = this->shard_count(this->limits.at(organisation));
    for (std::uint8_t index = 0; index < count; ++index) {
        auto const shard = static_cast<std::uint8_t>((round + index) % count);
        order.push_back({this->membership.owner(pool_key(organisation, shard)), this->domain, shard});
    }
    return order;
}

std::optional<rate_lease_manager::pool_address>
rate_lease_manager::runner_up(std::string const& organisation, pool_address const& failed) const {
    if (failed.is_runner_up) {
        return std::nullopt;
    }
    auto const key = pool_key(organisation, failed.shard);
    std::vector<std::string> preferred;
    if (failed.domain == this->domain) {
        preferred = this->membership.preferred_owners(key, 2);
    } else if (auto const listed = this->hosts.find(failed.domain); listed != this->hosts.end()) {
        preferred = rendezvous_top(std::vector(listed->second.begin(), listed->second.end()), key, 2);
    }
    for (auto& name : preferred) {
        if (name != failed.host) {
            return pool_address{std::move(name), failed.domain, failed.shard, true};
        }
    }
    return std::nullopt;
}

std::vector<rate_lease_manager::pool_address>
rate_lease_manager::find_remote_pools(std::string const& organisation) const {
    std::vector<pool_address> order;
    auto const& limit = this->limits.at(organisation);
    for (auto const& [name, listed] : this->hosts) {
        if (name == this->domain || !limit.has_pools_in(name)) {
            continue;
        }
        std::vector<std::string> const candidates(listed.begin(), listed.end());
        for (std::uint8_t shard = 0; shard < this->shard_count(limit); ++shard) {
            for (auto const& name_of_host : rendezvous_top(candidates, pool_key(organisation, shard), 1)) {
                order.push_back({name_of_host, name, shard});
            }
        }
    }
    // A different order on every node spreads the requests over the domains.
    std::ranges::sort(order, [this](pool_address const& left, pool_address const& right) {
        return rendezvous_prefers(pool_key(left.host, left.shard), pool_key(right.host, right.shard),
                                  this->host);
    });
    return order;
}

} // namespace caraway
