/// The thread of the deciding duty: drains the ring of events, keeps time, and hands out the effects.
#pragma once

#include "base/bounded_ring.hpp"
#include "node/node_core.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace caraway {

class core_thread {
public:
    /// `carry_out` is called on this thread with what is to be done, and must not block.
    core_thread(settings wanted, bool platform_is_current, std::uint64_t incarnation,
                std::function<void(effects&&)> carry_out);
    ~core_thread();
    core_thread(core_thread const&) = delete;
    core_thread& operator=(core_thread const&) = delete;

    void start();
    void stop();

    /// Thread-safe; false when the ring is full.
    bool push(core_event&& event);

    std::shared_ptr<node_status const> status() const { return std::atomic_load(&this->published); }
    bool is_idle() const { return this->idle; }

private:
    void run();
    void wait();

    node_core core;
    std::function<void(effects&&)> carry_out;
    /// Of pointers: a ring of whole events would keep many megabytes once it has gone round.
    bounded_ring<std::unique_ptr<core_event>> events;
    std::mutex mutex;
    std::condition_variable woken;
    bool pending{false};
    std::atomic<bool> stopping{false};
    std::atomic<bool> idle{true};
    std::shared_ptr<node_status const> published;
    std::thread worker;
};

} // namespace caraway
