/// An event loop on a thread of its own, which several components of one node may share.
///
/// Components that share a loop pass work to each other without waking another thread
/// (docs/design/platform.md has the figures).
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <thread>

namespace caraway {

class event_loop_thread {
public:
    event_loop_thread() : io(1), guard(io.get_executor()) {}
    ~event_loop_thread() { this->stop(); }
    event_loop_thread(event_loop_thread const&) = delete;
    event_loop_thread& operator=(event_loop_thread const&) = delete;

    boost::asio::io_context& context() { return this->io; }

    void start() {
        this->worker = std::thread([this] { this->io.run(); });
    }

    /// Stops the loop and joins the thread. Handlers that have not run by then never do.
    void stop() {
        this->io.stop();
        if (this->worker.joinable()) {
            this->worker.join();
        }
    }

private:
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    std::thread worker;
};

/// The event loop that a component runs on: either one that it owns or one shared with other components.
class event_loop_handle {
public:
    event_loop_handle() : owned_loop(std::make_unique<event_loop_thread>()), loop(owned_loop.get()) {}
    /// `shared` must have stopped before the component is destroyed.
    explicit event_loop_handle(event_loop_thread& shared) : loop(&shared) {}

    boost::asio::io_context& context() const { return this->loop->context(); }

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
