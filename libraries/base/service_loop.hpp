/// An event loop on a thread of its own, which several duties of one node may share.
///
/// Duties that share it hand work to each other without waking a thread (docs/design/platform.md has the
/// figures).
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

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

} // namespace caraway
