/// Measures how late the core's event loop is, and names the step of its work that took longest.
#pragma once

#include "node/core_event.hpp"

#include <string_view>

namespace caraway {

/// The work of an event loop between two runs of its periodic tasks.
struct loop_turn {
    duration late; ///< How long after it was due the periodic work began.
    duration
        core_time; ///< Time in the steps of the core; the rest went into sockets, or the process stood still.
    std::size_t step_count{0};
    std::string_view longest_step; ///< A fixed name; empty when there was no step.
    duration longest_time;
};

class loop_watch {
public:
    /// `name` must outlive the watch.
    void record_step(std::string_view name, duration taken);

    /// Ends the turn whose periodic work was due at `due` and begins at `now`.
    loop_turn end_turn(time_point due, time_point now);

private:
    loop_turn current;
};

/// The name of the step that handles the event.
std::string_view step_name(core_event const& event);

} // namespace caraway
