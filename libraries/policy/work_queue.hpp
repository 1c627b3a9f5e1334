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
inline constexpr std::size_t queue_priorities = 3;

/// A request that waits for a slot.
struct queued_work {
    std::uint64_t id{0};
    bool holds_work{false}; ///< Part of a request that other targets have worked on already.
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
    /// `most`: places for all work; `most_held`: places while only work that others hold slots for waits.
    explicit work_queue(std::size_t most, std::size_t most_held = 0)
        : capacity(most), held_capacity(std::max(most, most_held)) {}

    void set_capacity(std::size_t most, std::size_t most_held = 0) {
        this->capacity = most;
        this->held_capacity = std::max(most, most_held);
    }

    /// Adds the work; gives the id that had to yield, which may be its own, or 0 when there was room.
    std::uint64_t push(queued_work work);

    /// The most important work that is still worth starting; 0 when there is none. Adds what is too late to
    /// `late`.
    std::uint64_t pop(time_point now, std::vector<std::uint64_t>& late);

    /// Moves out everything whose age limit or deadline has passed.
    void expire(time_point now, std::vector<std::uint64_t>& late);

    /// Takes the work out; false when it isn't there.
    bool remove(std::uint64_t id);

    std::size_t size() const { return this->order.size(); }

private:
    /// Smaller is served sooner: yields to others, class, virtual start, arrival.
    using rank = std::tuple<bool, std::uint8_t, double, std::uint64_t>;

    struct fair_share {
        std::unordered_map<std::string, double> finish; ///< Virtual end of what each organisation was given.
        double now{0};
    };

    static bool is_late(queued_work const& work, time_point now);

    std::size_t capacity;
    std::size_t held_capacity;
    std::map<rank, queued_work> order;
    std::unordered_map<std::uint64_t, rank> ranks;
    std::array<fair_share, queue_priorities>
        shares; ///< By priority: an organisation's background work must not delay its orders.
    std::uint64_t next_arrival{0};
};

} // namespace caraway
