#include "policy/work_queue.hpp"

#include <algorithm>

namespace caraway {

namespace {

/// Root requests queued for longer would mostly be answered after the caller has given up.
constexpr duration root_work_age_limit{150};
/// Nested calls may wait longer: rejecting one wastes the slots that upstream targets hold for it.
constexpr duration nested_work_age_limit{600};
constexpr std::size_t max_tracked_organisations = 4096;

} // namespace

duration work_queue::age_limit(bool is_nested) {
    return is_nested ? nested_work_age_limit : root_work_age_limit;
}

bool work_queue::is_expired(queued_work const& work, time_point now) {
    return now >= work.deadline || now - work.arrived >= age_limit(work.is_nested);
}

std::uint8_t work_queue::group_of(queued_work const& work) const {
    if (work.is_nested) {
        return 1;
    }
    return this->critical_first && work.priority == 0 ? 0 : 2;
}

std::uint64_t work_queue::push(queued_work work) {
    work.priority = std::min<std::uint8_t>(work.priority, queue_priority_count - 1);
    auto& share = this->shares.at(work.priority);
    if (share.virtual_finish.size() > max_tracked_organisations) {
        share.virtual_finish.clear();
    }
    auto& virtual_finish = share.virtual_finish[work.organisation];
    double const virtual_start = std::max(share.virtual_time, virtual_finish);
    virtual_finish = virtual_start + 1.0 / work.weight;
    auto const id = work.id;
    rank const position{this->group_of(work), work.priority, virtual_start, this->next_arrival++};
    this->order.emplace(position, std::move(work));
    this->ranks.emplace(id, position);
    if (this->order.size() <= this->capacity) {
        return 0;
    }
    auto const last = std::prev(this->order.end());
    // Rejecting a nested call fails its whole call tree, so nested work may use the extra places until it
    // reaches its age limit.
    if (last->second.is_nested && this->order.size() <= this->nested_capacity) {
        return 0;
    }
    auto const evicted = last->second.id;
    // Evicted work received no service, so the organisation is not charged for it.
    this->shares.at(last->second.priority).virtual_finish[last->second.organisation] -=
        1.0 / last->second.weight;
    this->ranks.erase(evicted);
    this->order.erase(last);
    return evicted;
}

std::uint64_t work_queue::pop(time_point now, std::vector<std::uint64_t>& expired) {
    while (!this->order.empty()) {
        auto const first = this->order.begin();
        auto const work = first->second;
        auto& share = this->shares.at(work.priority);
        share.virtual_time = std::max(share.virtual_time, std::get<2>(first->first));
        this->ranks.erase(work.id);
        this->order.erase(first);
        if (!is_expired(work, now)) {
            return work.id;
        }
        expired.push_back(work.id);
    }
    return 0;
}

void work_queue::remove_expired(time_point now, std::vector<std::uint64_t>& expired) {
    std::erase_if(this->order, [&](auto const& entry) {
        bool const is_removed = is_expired(entry.second, now);
        if (is_removed) {
            expired.push_back(entry.second.id);
            this->ranks.erase(entry.second.id);
        }
        return is_removed;
    });
}

bool work_queue::remove(std::uint64_t id) {
    auto const found = this->ranks.find(id);
    if (found == this->ranks.end()) {
        return false;
    }
    this->order.erase(found->second);
    this->ranks.erase(found);
    return true;
}

} // namespace caraway
