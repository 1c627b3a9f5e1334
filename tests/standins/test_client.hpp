/// A blocking HTTP client for tests, with one persistent connection. It can also send raw bytes.
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
    unsigned int status{0}; ///< 0 when no complete response arrived.
    header_map headers;
    std::string body;

    std::string header(std::string const& name) const;
    std::string outcome() const { return this->header("X-Caraway-Outcome"); }
    int code() const;
};

class test_client {
public:
    test_client(std::string address, std::uint16_t port);

    /// Sends a request on the open connection, or else on a new one, and waits for the response.
    client_answer request(std::string const& method, std::string const& path, header_map const& headers = {},
                          std::string const& body = "",
                          std::chrono::milliseconds timeout = std::chrono::seconds(10));

    /// Writes the bytes unchanged, after connecting if needed. False on a connect or write error.
    bool send_raw(std::string const& bytes);
    client_answer read_answer(std::chrono::milliseconds timeout = std::chrono::seconds(10));
    /// Reads up to the end of a header and returns it as it came; empty if none came whole. Not to be mixed
    /// with `read_answer` on one connection.
    std::string read_head();
    void close();

private:
    bool connect();

    std::string address;
    std::uint16_t port;
    boost::asio::io_context io;
    std::optional<boost::beast::tcp_stream> stream;
    boost::beast::flat_buffer buffer;
};

/// Sends one request on a new connection.
client_answer fetch(std::string const& address, std::uint16_t port, std::string const& method,
                    std::string const& path, header_map const& headers = {}, std::string const& body = "",
                    std::chrono::milliseconds timeout = std::chrono::seconds(10));

} // namespace caraway::standins
