#include "policy/work_queue.hpp"

#include <algorithm>

namespace caraway {

namespace {

/// New work that waited this long would mostly miss its caller.
constexpr duration new_work_age_limit{150};
/// Work that others hold slots for may wait longer: refusing it wastes theirs.
constexpr duration held_work_age_limit{600};
constexpr std::size_t max_remembered_organisations = 4096;

} // namespace

bool work_queue::is_late(queued_work const& work, time_point now) {
    auto const limit = work.holds_work ? held_work_age_limit : new_work_age_limit;
    return now >= work.deadline || now - work.arrived >= limit;
}

std::uint64_t work_queue::push(queued_work work) {
    work.priority = std::min<std::uint8_t>(work.priority, queue_priorities - 1);
    auto& share = this->shares.at(work.priority);
    if (share.finish.size() > max_remembered_organisations) {
        share.finish.clear();
    }
    auto& finish = share.finish[work.organisation];
    double const start = std::max(share.now, finish);
    finish = start + 1.0 / work.weight;
    auto const id = work.id;
    rank const place{!work.holds_work, work.priority, start, this->next_arrival++};
    this->order.emplace(place, std::move(work));
    this->ranks.emplace(id, place);
    if (this->order.size() <= this->capacity) {
        return 0;
    }
    auto const last = std::prev(this->order.end());
    // A refused part fails the whole tree above it, so that such work gives way to its age limit only.
    if (last->second.holds_work && this->order.size() <= this->held_capacity) {
        return 0;
    }
    auto const yielded = last->second.id;
    // What is turned away got no service.
    this->shares.at(last->second.priority).finish[last->second.organisation] -= 1.0 / last->second.weight;
    this->ranks.erase(yielded);
    this->order.erase(last);
    return yielded;
}

std::uint64_t work_queue::pop(time_point now, std::vector<std::uint64_t>& late) {
    while (!this->order.empty()) {
        auto const first = this->order.begin();
        auto const work = first->second;
        auto& share = this->shares.at(work.priority);
        share.now = std::max(share.now, std::get<2>(first->first));
        this->ranks.erase(work.id);
        this->order.erase(first);
        if (!is_late(work, now)) {
            return work.id;
        }
        late.push_back(work.id);
    }
    return 0;
}

void work_queue::expire(time_point now, std::vector<std::uint64_t>& late) {
    std::erase_if(this->order, [&](auto const& entry) {
        bool const gone = is_late(entry.second, now);
        if (gone) {
            late.push_back(entry.second.id);
            this->ranks.erase(entry.second.id);
        }
        return gone;
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
