/// What the host beside a target knows of its load, from the answers that it sees: how long requests take,
/// how slow the target is at the moment, how many of its answers fail, and how long a new request waits.
#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <optional>

namespace caraway {

/// Requests at the target by its own statement.
struct stated_load {
    int present{0}; ///< Running and waiting.
    int slots{1};
    std::optional<double> work_time_percent; ///< 100 for the usual time.
};

/// Requests at the target and in the queue before it, by the host's own count.
struct own_load {
    std::size_t running{0};
    std::size_t queued{0};
    int limit{1}; ///< Requests that may run concurrently.
};

class target_load_estimate {
public:
    void record_stated(stated_load const& stated, std::size_t own_running, time_point now);
    /// `running`: requests that the target runs already.
    void record_sent(std::size_t running, time_point now);
    /// `own_time` excludes the calls that the target made, `held_time` includes them. `failed`: the answer
    /// was an error or no answer came.
    void record_answer(duration own_time, duration held_time, bool failed, time_point now);
    /// Another incarnation of the target.
    void reset() { *this = {}; }

    /// How long work takes at this moment, in percent of the usual time.
    double work_time_percent(time_point now) const;
    /// How long a request holds a slot at this moment; 0 if unknown.
    duration request_time(time_point now) const;
    /// How long a new request waits for a slot; for a target that has stopped answering, at least since when.
    duration expected_wait(own_load const& load, time_point now) const;
    /// How long work waits that has `ahead` queued requests before it.
    duration wait_behind(std::size_t ahead, own_load const& load, time_point now) const;
    double failure_fraction(time_point now) const;

private:
    duration silence(own_load const& load, time_point now) const;

    double usual_own_ms{0};
    double nested_ms{0};
    double held_squared{0}; ///< Mean square of the time with nested calls.
    int answers{0};
    double percent{100};
    time_point percent_at;
    double failures{0}; ///< Moving fraction; fades while no answers come.
    time_point answered_at;
    time_point busy_since;
    int foreign{0}; ///< Requests at the target that this host does not count as running.
    int slots{0};   ///< 0 while the target states none.
    time_point stated_at;
};

} // namespace caraway
