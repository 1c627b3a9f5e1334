#include "policy/owed_calls.hpp"

#include <algorithm>

namespace caraway {

namespace {

/// Bound on the entries of one callee; what is beyond is added to the first.
constexpr std::size_t max_owners = 1024;

} // namespace

void owed_calls::add(std::string const& callee, offered_calls const& calls) {
    auto& owners = this->by_callee[callee];
    owner const key{calls.organisation, calls.priority};
    if (owners.size() >= max_owners && !owners.contains(key)) {
        owners.begin()->second += calls.count;
        return;
    }
    owners[key] += calls.count;
}

offered_calls owed_calls::take(std::string const& callee) {
    auto const found = this->by_callee.find(callee);
    if (found == this->by_callee.end() || found->second.empty()) {
        return {};
    }
    auto const largest =
        std::ranges::max_element(found->second, {}, [](auto const& entry) { return entry.second; });
    offered_calls const taken{largest->first.first, largest->first.second, largest->second};
    found->second.erase(largest);
    return taken;
}

} // namespace caraway
