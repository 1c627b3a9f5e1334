/// The short queue in front of the own target: ordered by importance, bounded by length and age.
#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace caraway {

/// Number of distinct priorities; a greater value is treated as the lowest priority.
inline constexpr std::size_t queue_priority_count = 3;

/// A request that waits for a slot.
struct queued_work {
    std::uint64_t id{0};
    bool is_nested{false}; ///< A call of a request that other targets are already working on.
    std::uint8_t priority{0};
    std::string organisation;
    double weight{1};
    time_point arrived;
    time_point deadline;
};

/// Order: nested calls first, after critical root requests where these go first, then by priority class, then
/// the organisation that has received the least service for its weight, then by age.
class work_queue {
public:
    /// The queue holds up to `max_size` requests, or up to `max_nested_size` while all of them are nested
    /// calls.
    explicit work_queue(std::size_t max_size, std::size_t max_nested_size = 0)
        : capacity(max_size), nested_capacity(std::max(max_size, max_nested_size)) {}

    void set_capacity(std::size_t max_size, std::size_t max_nested_size = 0) {
        this->capacity = max_size;
        this->nested_capacity = std::max(max_size, max_nested_size);
    }

    /// Whether critical root requests go before nested calls.
    void set_critical_first(bool value) { this->critical_first = value; }

    /// Work that has waited for this long is removed.
    static duration age_limit(bool is_nested);

    /// Returns the id of the evicted work, which may be the new one, or 0 when there was room.
    std::uint64_t push(queued_work work);

    /// Removes the most important work that is not expired; 0 when there is none. Appends the ids of expired
    /// work that it removes on the way.
    std::uint64_t pop(time_point now, std::vector<std::uint64_t>& expired);

    /// Removes all work whose age limit or deadline has passed and appends its ids.
    void remove_expired(time_point now, std::vector<std::uint64_t>& expired);

    /// False when the work is not queued.
    bool remove(std::uint64_t id);

    std::size_t size() const { return this->order.size(); }

private:
    /// The smallest is served first: group, priority class, virtual start time, arrival number.
    using rank = std::tuple<std::uint8_t, std::uint8_t, double, std::uint64_t>;

    struct fair_share {
        std::unordered_map<std::string, double>
            virtual_finish; ///< Virtual finish time of each organisation's latest work.
        double virtual_time{0};
    };

    static bool is_expired(queued_work const& work, time_point now);

    std::uint8_t group_of(queued_work const& work) const;

    bool critical_first{false};
    std::size_t capacity;
    std::size_t nested_capacity;
    std::map<rank, queued_work> order;
    std::unordered_map<std::uint64_t, rank> ranks;
    std::array<fair_share, queue_priority_count>
        shares; ///< By priority, so that an organisation's background work does not delay its more important
                ///< requests.
    std::uint64_t next_arrival{0};
};

} // namespace caraway
