/// A small asynchronous HTTP server on which the stand-ins for external systems are built; test code only.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>

namespace caraway::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/// Answers one request; may suspend on the service's I/O context.
using http_handler = std::function<asio::awaitable<http_response>(http_request)>;

/// Listens on one address and serves connections on its own thread.
class http_service {
public:
    http_service(std::string address, std::uint16_t port, http_handler request_handler);
    ~http_service();
    http_service(http_service const&) = delete;
    http_service& operator=(http_service const&) = delete;

    /// Ends the thread. Pending coroutines are destroyed together with this object.
    void stop();
    asio::io_context& context() { return this->io; }
    /// Resets every connection and refuses new ones until `resume`; thread-safe.
    void crash();
    void resume();
    std::size_t connection_count() const { return this->connections; }

private:
    asio::awaitable<void> serve(std::shared_ptr<asio::ip::tcp::socket> socket);
    void open();
    void accept();
    void reset_all_connections();

    std::string address;
    std::uint16_t port;
    http_handler handler;
    asio::io_context io{1};
    asio::ip::tcp::acceptor acceptor{io};
    std::set<std::shared_ptr<asio::ip::tcp::socket>> sockets;
    std::atomic<std::size_t> connections{0};
    std::thread worker;
};

http_response make_response(unsigned int status, std::string body);

} // namespace caraway::standins
