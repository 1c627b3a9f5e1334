/// The thread of the deciding duty: drains the ring of events, keeps time, and hands out the effects. Doors
/// and target client may run on its loop, so that a request passes through this node's duties without waking
/// a thread.
#pragma once

#include "base/bounded_queue.hpp"
#include "base/event_loop_thread.hpp"
#include "node/node_core.hpp"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace caraway {

class core_thread {
public:
    /// `carry_out` is called on this thread with what is to be done, and must not block.
    core_thread(settings wanted, platform_traits traits, std::uint64_t incarnation,
                std::function<void(effects&&)> carry_out);
    ~core_thread();
    core_thread(core_thread const&) = delete;
    core_thread& operator=(core_thread const&) = delete;

    void start();
    void stop();
    event_loop_thread& loop() { return this->events_loop; }

    /// Thread-safe; false when the ring is full.
    bool push(core_event&& event);

    std::shared_ptr<node_status const> status() const { return std::atomic_load(&this->published); }
    /// The same for a reader of its texts: while somebody reads them they are made more often.
    std::shared_ptr<node_status const> read_texts();
    bool is_idle() const { return this->idle; }

private:
    void drain_events();
    /// Time passes: deadlines, age limits, what is periodic.
    void tick();
    void schedule_tick();
    void carry_out_all(time_point now);

    node_core core;
    std::function<void(effects&&)> carry_out;
    /// Of pointers: a ring of whole events would keep many megabytes once it has gone round.
    bounded_queue<std::unique_ptr<core_event>> events;
    std::atomic<bool> idle{true};
    std::shared_ptr<node_status const> published;
    time_point next_publish;
    time_point next_texts;
    std::atomic<double> texts_read_at{0}; ///< On the monotonic clock, in milliseconds.
    event_loop_thread events_loop;
    boost::asio::steady_timer ticks;
};

} // namespace caraway
