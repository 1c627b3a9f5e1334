/// The operators' and the readiness address: what they answer, and what a request without end costs.

#include "node/operator_server.hpp"
#include "support/endless_stream.hpp"

#include <doctest/doctest.h>

#include <array>
#include <unistd.h>

using namespace caraway;
using namespace caraway::tests;

namespace {

std::uint16_t next_port() {
    static std::uint16_t port = static_cast<std::uint16_t>(32'400 + ::getpid() % 300);
    return ++port;
}

/// A server for a node that is ready or not.
class served_status {
public:
    served_status() : server([this] { return this->status; }, [this] { return this->status; }, this->loop) {
        attempt_or(
            [&]() -> result<bool> {
                BOOST_LEAF_CHECK(this->server.open(this->operators));
                BOOST_LEAF_CHECK(this->server.open_readiness(this->readiness));
                return true;
            },
            [](problem const& cause) -> bool {
                FAIL(to_text(cause));
                return false;
            });
        this->loop.start();
    }
    ~served_status() { this->loop.stop(); }
    served_status(served_status const&) = delete;
    served_status& operator=(served_status const&) = delete;

    endpoint operators{"127.0.0.1", next_port()};
    endpoint readiness{"127.0.0.1", next_port()};
    std::shared_ptr<node_status> status{std::make_shared<node_status>()};

private:
    event_loop_thread loop;
    operator_server server;
};

/// The beginning of the answer to a request without a body.
std::string fetch(endpoint const& address, std::string const& path) {
    raw_connection const connection(address.port);
    auto const request = "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    ::send(connection.socket, request.data(), request.size(), MSG_NOSIGNAL);
    std::string answer;
    std::array<char, 1024> bytes{};
    for (auto size = ::recv(connection.socket, bytes.data(), bytes.size(), 0); size > 0;
         size = ::recv(connection.socket, bytes.data(), bytes.size(), 0)) {
        answer.append(bytes.data(), static_cast<std::size_t>(size));
    }
    return answer;
}

} // namespace

TEST_CASE("the operators' address answers from the published status") {
    served_status node;
    node.status->metrics_text = "caraway_up 1\n";
    node.status->status_json = "{}";
    CHECK(fetch(node.operators, "/health").starts_with("HTTP/1.1 200"));
    CHECK(fetch(node.operators, "/metrics?all").ends_with("caraway_up 1\n"));
    CHECK(fetch(node.operators, "/status").find("application/json") != std::string::npos);
    CHECK(fetch(node.operators, "/configuration").starts_with("HTTP/1.1 404"));
    CHECK(fetch(node.operators, "/other").starts_with("HTTP/1.1 404"));
    CHECK(fetch(node.operators, "/ready").starts_with("HTTP/1.1 503"));
    CHECK(fetch(node.readiness, "/anything").starts_with("HTTP/1.1 503"));
}

TEST_CASE("a node that is ready says so at both addresses") {
    served_status node;
    node.status->ready = true;
    CHECK(fetch(node.operators, "/ready").starts_with("HTTP/1.1 200"));
    CHECK(fetch(node.readiness, "/").starts_with("HTTP/1.1 200"));
}

// Qt's HTTP server kept whatever arrived, at an address that others than the operators can reach.
TEST_CASE("a request without end at the operators' or the readiness address takes bounded memory") {
    served_status node;
    auto streams = endless_messages("POST /ready HTTP/1.1\r\nHost: x\r\n");
    streams.push_back({"first line", "GET /", std::string(filler_bytes, 'a')});
    streams.push_back({"body of 10 GB",
                       "POST /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 10000000000\r\n\r\n",
                       std::string(filler_bytes, 'a')});
    for (auto const& address : {node.operators, node.readiness}) {
        for (auto const& stream : streams) {
            CAPTURE(stream.name);
            CAPTURE(address.port);
            raw_connection const peer(address.port);
            REQUIRE(peer.is_open);
            CHECK(write_endlessly(peer.socket, stream) < max_bytes_taken);
        }
        CHECK_FALSE(fetch(address, "/ready").empty());
    }
}
