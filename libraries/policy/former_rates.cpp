#include "policy/former_rates.hpp"

#include <algorithm>
#include <utility>

namespace caraway {

void former_rates::update(std::unordered_map<std::string, rate_part> limits, time_point now) {
    std::unordered_map<std::string, former_limit> still_used;
    for (auto const& [name, wanted] : limits) {
        if (!this->configured.contains(name)) {
            continue;
        }
        auto const used = this->limit(name, now);
        if (used.rate <= wanted.rate && used.burst <= wanted.burst) {
            continue;
        }
        auto const known = this->former.find(name);
        bool const is_used = known != this->former.end() && now < known->second.until;
        still_used[name] = {used, is_used ? known->second.until : now + this->span};
    }
    this->former = std::move(still_used);
    this->configured = std::move(limits);
}

rate_part former_rates::limit(std::string const& organisation, time_point now) const {
    auto const found = this->configured.find(organisation);
    auto const wanted = found == this->configured.end() ? rate_part{} : found->second;
    auto const known = this->former.find(organisation);
    if (known == this->former.end() || now >= known->second.until) {
        return wanted;
    }
    return {std::max(wanted.rate, known->second.limit.rate),
            std::max(wanted.burst, known->second.limit.burst)};
}

bool former_rates::remove_expired(time_point now) {
    return std::erase_if(this->former, [now](auto const& entry) { return now >= entry.second.until; }) > 0;
}

} // namespace caraway
