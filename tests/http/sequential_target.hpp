/// A target that serves one connection at a time on its own thread.
#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <thread>
#include <utility>

namespace caraway::tests {

class sequential_target {
public:
    /// `serve` runs on the target's thread; the connection is closed when it returns.
    sequential_target(std::uint16_t port, std::function<void(boost::asio::ip::tcp::socket&)> serve)
        : serve_connection(std::move(serve)) {
        boost::asio::ip::tcp::endpoint const local_endpoint(boost::asio::ip::make_address("127.0.0.1"), port);
        this->acceptor.open(local_endpoint.protocol());
        this->acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
        this->acceptor.bind(local_endpoint);
        this->acceptor.listen();
        this->worker = std::thread([this] { this->run(); });
    }
    ~sequential_target() {
        this->stopping = true;
        // Unblocks `accept`; the thread must not outlive the members that it uses.
        boost::asio::io_context waker_context;
        boost::asio::ip::tcp::socket waker(waker_context);
        boost::system::error_code ignored;
        waker.connect(this->acceptor.local_endpoint(), ignored);
        this->worker.join();
    }
    sequential_target(sequential_target const&) = delete;
    sequential_target& operator=(sequential_target const&) = delete;

private:
    void run() {
        while (!this->stopping) {
            boost::system::error_code error;
            boost::asio::ip::tcp::socket socket(this->io);
            this->acceptor.accept(socket, error);
            if (this->stopping || error) {
                return;
            }
            this->serve_connection(socket);
        }
    }

    std::function<void(boost::asio::ip::tcp::socket&)> serve_connection;
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor{io};
    std::atomic<bool> stopping{false};
    std::thread worker;
};

} // namespace caraway::tests
