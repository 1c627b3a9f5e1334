/// A blocking HTTP client for tests: one connection, or raw bytes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace caraway::standins {

using header_map = std::map<std::string, std::string>;

struct client_answer {
    unsigned int status{0}; ///< 0 when no whole answer came.
    header_map headers;
    std::string body;

    std::string header(std::string const& name) const;
    std::string outcome() const { return this->header("X-Caraway-Outcome"); }
    int code() const;
};

class test_client {
public:
    test_client(std::string address, std::uint16_t port);

    /// Sends on the open connection, or a new one, and waits for the answer.
    client_answer request(std::string const& method, std::string const& path, header_map const& headers = {},
                          std::string const& body = "",
                          std::chrono::milliseconds timeout = std::chrono::seconds(10));

    /// Writes bytes as they are; opens the connection if needed. False when it can't be written.
    bool send_raw(std::string const& bytes);
    client_answer read_answer(std::chrono::milliseconds timeout = std::chrono::seconds(10));
    void close();

private:
    bool connect();

    std::string address;
    std::uint16_t port;
    boost::asio::io_context io;
    std::optional<boost::beast::tcp_stream> stream;
    boost::beast::flat_buffer buffer;
};

/// One request on a connection of its own.
client_answer fetch(std::string const& address, std::uint16_t port, std::string const& method,
                    std::string const& path, header_map const& headers = {}, std::string const& body = "",
                    std::chrono::milliseconds timeout = std::chrono::seconds(10));

} // namespace caraway::standins
