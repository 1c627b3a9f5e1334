/// An event loop on a thread of its own, which several components of one node may share.
///
/// The loop runs in turns. A turn first takes in everything that has arrived: it reads sockets until none is
/// ready. Then it runs the tasks that act on it. Hence the end of a connection is known before anything is
/// started for a request that arrived ahead of it, however late the loop is.
///
/// Components that share a loop pass work to each other without waking another thread
/// (docs/design/platform.md has the figures).
#pragma once

#include "base/arrival.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace caraway {

/// The stages at the end of a turn, in their order.
enum class turn_stage : std::uint8_t {
    decide, ///< Acts on what the turn has taken in.
    send,   ///< Carries out what was decided.
};

class event_loop_thread {
public:
    event_loop_thread() : io(1), guard(io.get_executor()) {}
    ~event_loop_thread() { this->stop(); }
    event_loop_thread(event_loop_thread const&) = delete;
    event_loop_thread& operator=(event_loop_thread const&) = delete;

    boost::asio::io_context& context() { return this->io; }

    void start() {
        this->worker = std::thread([this] { this->run(); });
    }

    /// Stops the loop and joins the thread. Handlers that have not run by then never do.
    void stop();

    /// Runs the task at the end of the current turn, or of the next one if called on another thread.
    /// Thread-safe.
    void run_at_turn_end(turn_stage stage, std::function<void()> task);

    /// For a loop that a timer wakes at least so often: what is read after a longer time may have arrived
    /// meanwhile.
    void set_longest_wait(duration span) { this->longest_wait = span; }

    /// Of what is being read at present. Called on the loop only.
    arrival current_arrival() const;

private:
    void run();
    /// Reads until nothing is ready, or for as long as a turn may take.
    void take_in_arrivals();
    void run_turn_end_tasks();

    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    std::array<std::vector<std::function<void()>>, 2> turn_end_tasks; ///< By stage.
    std::optional<duration> longest_wait;
    time_point nothing_ready_at; ///< When the loop last saw that nothing was ready.
    std::thread worker;
};

/// The event loop that a component runs on: either one that it owns or one shared with other components.
class event_loop_handle {
public:
    event_loop_handle() : owned_loop(std::make_unique<event_loop_thread>()), loop(owned_loop.get()) {}
    /// `shared` must have stopped before the component is destroyed.
    explicit event_loop_handle(event_loop_thread& shared) : loop(&shared) {}

    boost::asio::io_context& context() const { return this->loop->context(); }
    event_loop_thread& thread() const { return *this->loop; }

    /// Starts the owned loop; does nothing for a shared one, which its owner starts.
    void start() {
        if (this->owned_loop != nullptr) {
            this->owned_loop->start();
        }
    }

    /// Stops the owned loop; does nothing for a shared one.
    void stop() {
        if (this->owned_loop != nullptr) {
            this->owned_loop->stop();
        }
    }

private:
    std::unique_ptr<event_loop_thread> owned_loop; ///< Null when the loop is shared.
    event_loop_thread* loop;
};

} // namespace caraway
