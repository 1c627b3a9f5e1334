/// A small asynchronous HTTP server for stand-ins of outside systems; test code only.
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

/// Answers one request; may wait on the service's context.
using http_handler = std::function<asio::awaitable<http_response>(http_request)>;

/// Listens at one address on a thread of its own.
class http_service {
public:
    http_service(std::string address, std::uint16_t port, http_handler request_handler);
    ~http_service();
    http_service(http_service const&) = delete;
    http_service& operator=(http_service const&) = delete;

    /// Ends the thread; what waits on the context is destroyed with this object.
    void stop();
    asio::io_context& context() { return this->io; }
    /// Cuts every connection and refuses new ones until `resume`; thread-safe.
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

/// A plain answer.
http_response make_response(unsigned int status, std::string body);

} // namespace caraway::standins
