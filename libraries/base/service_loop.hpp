/// An event loop on a thread of its own, which several duties of one node may share.
///
/// Duties that share it hand work to each other without waking a thread (docs/design/platform.md has the
/// figures).
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <thread>

namespace caraway {

class service_loop {
public:
    service_loop() : io(1), guard(io.get_executor()) {}
    ~service_loop() { this->stop(); }
    service_loop(service_loop const&) = delete;
    service_loop& operator=(service_loop const&) = delete;

    boost::asio::io_context& context() { return this->io; }

    void start() {
        this->worker = std::thread([this] { this->io.run(); });
    }

    /// Ends the thread; handlers that have not run by then never do.
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

/// The loop of one duty: a loop of its own, or one that it shares.
class loop_use {
public:
    loop_use() : own(std::make_unique<service_loop>()), used(own.get()) {}
    /// `shared` must have stopped before the duty is destroyed.
    explicit loop_use(service_loop& shared) : used(&shared) {}

    boost::asio::io_context& context() const { return this->used->context(); }

    /// Starts and stops the own loop; a shared one has its owner for that.
    void start() {
        if (this->own != nullptr) {
            this->own->start();
        }
    }
    void stop() {
        if (this->own != nullptr) {
            this->own->stop();
        }
    }

private:
    std::unique_ptr<service_loop> own; ///< Null when the loop is shared.
    service_loop* used;
};

} // namespace caraway
