/// The thread that runs `node_core`: it handles queued events, calls the periodic tasks, and passes on the
/// effects. The listeners and the target client may share its event loop, so that a request crosses this node
/// without waking another thread.
#pragma once

#include "base/bounded_queue.hpp"
#include "base/event_loop_thread.hpp"
#include "node/loop_watch.hpp"
#include "node/node_core.hpp"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace caraway {

class core_thread {
public:
    /// `effect_handler` is called on this thread and must not block.
    core_thread(settings wanted, platform_traits traits, std::uint64_t incarnation,
                std::function<void(effects&&)> effect_handler);
    ~core_thread();
    core_thread(core_thread const&) = delete;
    core_thread& operator=(core_thread const&) = delete;

    void start();
    void stop();
    event_loop_thread& loop() { return this->event_loop; }

    /// Thread-safe; false when the ring is full and the event is a request or a message of another host. All
    /// other events are handled in any case.
    bool push(core_event&& event);

    std::shared_ptr<node_status const> status() const { return std::atomic_load(&this->published_status); }
    /// The same for a reader of `metrics_text` and `status_json`, which are refreshed more often while they
    /// are being read.
    std::shared_ptr<node_status const> status_with_texts();
    bool is_idle() const { return this->idle; }

private:
    /// Requests `run_turn_end` for the current turn of the loop.
    void request_turn_end();
    /// Handles everything that the turn has taken in, the ends of requests first, and then starts requests.
    void run_turn_end();
    void take_in_events();
    /// Starts for a bounded time what was taken in; the rest is left for the next turn.
    void start_requests();
    /// Deadlines, age limits and periodic work.
    void run_periodic_tasks();
    void schedule_periodic_tasks();
    void apply_effects_and_publish_status(time_point now);

    node_core core;
    std::function<void(effects&&)> effect_handler;
    /// Holds pointers, since a ring of the events themselves would occupy many megabytes once all its slots
    /// had been used.
    bounded_queue<std::unique_ptr<core_event>> events;
    std::vector<std::unique_ptr<core_event>>
        overflow; ///< Events that found the ring full and are not refused.
    bool turn_end_requested{false};
    bool periodic_tasks_pending{false};
    std::atomic<std::uint64_t> refused_events{0}; ///< Because the ring was full.
    std::atomic<bool> idle{true};
    std::shared_ptr<node_status const> published_status;
    loop_watch watch;
    time_point periodic_tasks_due;
    time_point next_status_refresh;
    time_point next_text_refresh;
    std::atomic<double> texts_read_at{0}; ///< On the monotonic clock, in milliseconds.
    event_loop_thread event_loop;
    boost::asio::steady_timer periodic_timer;
};

} // namespace caraway
