/// The short queue before the own target: ordered by importance, bounded by length and age.
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

/// Priorities that are told apart; a greater one counts as the last.
inline constexpr std::size_t queue_priority_count = 3;

/// A request that waits for a slot.
struct queued_work {
    std::uint64_t id{0};
    bool is_nested{false}; ///< Part of a request that other targets have worked on already.
    std::uint8_t priority{0};
    std::string organisation;
    double weight{1};
    time_point arrived;
    time_point deadline;
};

/// The order is: work that others depend on, then priority class, then the organisation that got least for
/// its weight, then age.
class work_queue {
public:
    /// `max_size`: places for all work; `max_nested_size`: places while only work that others hold slots for
    /// waits.
    explicit work_queue(std::size_t max_size, std::size_t max_nested_size = 0)
        : capacity(max_size), nested_capacity(std::max(max_size, max_nested_size)) {}

    void set_capacity(std::size_t max_size, std::size_t max_nested_size = 0) {
        this->capacity = max_size;
        this->nested_capacity = std::max(max_size, max_nested_size);
    }

    /// Adds the work; gives the id that had to yield, which may be its own, or 0 when there was room.
    std::uint64_t push(queued_work work);

    /// The most important work that is still worth starting; 0 when there is none. Adds what is too late to
    /// `expired`.
    std::uint64_t pop(time_point now, std::vector<std::uint64_t>& expired);

    /// Moves out everything whose age limit or deadline has passed.
    void remove_expired(time_point now, std::vector<std::uint64_t>& expired);

    /// Takes the work out; false when it isn't there.
    bool remove(std::uint64_t id);

    std::size_t size() const { return this->order.size(); }

private:
    /// Smaller is served sooner: yields to others, class, virtual start, arrival.
    using rank = std::tuple<bool, std::uint8_t, double, std::uint64_t>;

    struct fair_share {
        std::unordered_map<std::string, double>
            virtual_finish; ///< Virtual end of what each organisation was given.
        double virtual_time{0};
    };

    static bool is_expired(queued_work const& work, time_point now);

    std::size_t capacity;
    std::size_t nested_capacity;
    std::map<rank, queued_work> order;
    std::unordered_map<std::uint64_t, rank> ranks;
    std::array<fair_share, queue_priority_count>
        shares; ///< By priority: an organisation's background work must not delay its orders.
    std::uint64_t next_arrival{0};
};

} // namespace caraway
