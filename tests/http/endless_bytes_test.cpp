/// Bytes without end from a target or a caller: what one connection holds of them is bounded in every part of
/// a message.

#include "http/http_listener.hpp"
#include "http/open_or_fail.hpp"
#include "http/sequential_client.hpp"
#include "http/sequential_target.hpp"
#include "standins/http_service.hpp"
#include "standins/test_client.hpp"
#include "support/endless_stream.hpp"
#include "support/resident_memory.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <unistd.h>

using namespace caraway;
using namespace caraway::tests;
using caraway::standins::test_client;

namespace {

constexpr std::string_view answer_line = "HTTP/1.1 200 OK\r\n";

std::uint16_t next_port() {
    static std::uint16_t port = static_cast<std::uint16_t>(32'000 + ::getpid() % 300);
    return ++port;
}

target_request make_request(duration time_left) {
    return {.method = "POST",
            .path = "/order",
            .deadline = monotonic_clock::now() + time_left,
            .idempotent = false};
}

/// Answers its first request with an endless stream and any other one properly.
class endless_target {
public:
    endless_target(std::uint16_t port, endless_stream const& stream)
        : target(port, [this, stream](boost::asio::ip::tcp::socket& socket) {
              boost::beast::flat_buffer buffer;
              boost::beast::http::request<boost::beast::http::string_body> request;
              boost::system::error_code error;
              boost::beast::http::read(socket, buffer, request, error);
              if (!error && this->bytes_taken == 0) {
                  this->bytes_taken = write_endlessly(socket.native_handle(), stream);
              } else if (!error) {
                  boost::beast::http::write(socket, standins::make_response(200, "ok"), error);
              }
          }) {}

    std::atomic<std::size_t> bytes_taken{0};

private:
    sequential_target target; ///< Declared last, since its thread uses the members above.
};

std::vector<endless_stream> endless_answers() {
    auto streams = endless_messages(std::string(answer_line));
    streams.push_back({"first line", "HTTP/1.1 200 ", std::string(filler_bytes, 'a')});
    streams.push_back(
        {"body without a length", std::string(answer_line) + "\r\n", std::string(filler_bytes, 'a')});
    streams.push_back({"body of 10 GB", std::string(answer_line) + "Content-Length: 10000000000\r\n\r\n",
                       std::string(filler_bytes, 'a')});
    return streams;
}

} // namespace

// The size line of a chunk or a trailer without an end was kept whole, until the process was killed for its
// memory and the requests of all its other clients were lost.
TEST_CASE("an answer without end takes bounded memory, and its connection and caller are served") {
    for (auto const& stream : endless_answers()) {
        CAPTURE(stream.name);
        auto const port = next_port();
        endless_target target(port, stream);
        sequential_client client(port);
        auto const started = monotonic_clock::now();
        auto const answer = client.send(make_request(duration{8000}));
        CHECK((monotonic_clock::now() - started).milliseconds < 3000);
        CHECK(answer.code != result_code::ok);
        // Whether it has run is unknown, unless a whole head said so.
        CHECK((answer.result == outcome::unknown || answer.code == result_code::answer_dropped));
        CHECK(client.send(make_request(duration{8000})).status == 200);
        CHECK(target.bytes_taken < max_bytes_taken);
    }
}

TEST_CASE("small chunks behind long lines take bounded memory until the deadline") {
    auto const port = next_port();
    std::string const text(filler_bytes, 'a');
    endless_target const target(port, {"", std::string(answer_line) + "Transfer-Encoding: chunked\r\n\r\n",
                                       "1;" + text + "\r\nx\r\n"});
    sequential_client client(port);
    auto const before = resident_kilobytes();
    auto const answer = client.send(make_request(duration{1000}));
    CHECK(resident_kilobytes() - before < 8192);
    CHECK(answer.result == outcome::unknown);
}

TEST_CASE("an answer that does not end within its time ends at the deadline") {
    auto const port = next_port();
    sequential_target const target(port, [](boost::asio::ip::tcp::socket& socket) {
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(std::string(answer_line) + "X-Long: "), error);
        for (int sent = 0; sent < 500 && !error; ++sent) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            boost::asio::write(socket, boost::asio::buffer("a", 1), error);
        }
    });
    sequential_client client(port);
    auto const started = monotonic_clock::now();
    auto const answer = client.send(make_request(duration{400}));
    CHECK((monotonic_clock::now() - started).milliseconds < 2000);
    CHECK(answer.result == outcome::unknown);
    CHECK(answer.code == result_code::deadline_passed);
}

TEST_CASE("a request without end takes bounded memory, and other callers are served") {
    auto const port = next_port();
    http_listener* listening = nullptr;
    http_listener listener({.address = "127.0.0.1", .port = port, .max_header = 4096, .max_pipeline = 1},
                           {.request =
                                [&listening](listener_request&& request) {
                                    // The first of many requests on one connection stays without an answer.
                                    if (request.path != "/pending") {
                                        listening->enqueue_answer({.id = request.id, .status = 200});
                                    }
                                    return true;
                                },
                            .disconnected = [](std::uint64_t) {}});
    listening = &listener;
    open_or_fail(listener);
    auto streams = endless_messages("POST /a HTTP/1.1\r\nHost: x\r\n");
    streams.push_back({"first line", "GET /", std::string(filler_bytes, 'a')});
    streams.push_back({"requests", "", "GET /pending HTTP/1.1\r\nHost: x\r\n\r\n"});
    for (auto const& stream : streams) {
        CAPTURE(stream.name);
        raw_connection const client(port);
        REQUIRE(client.is_open);
        CHECK(write_endlessly(client.socket, stream) < max_bytes_taken);
        test_client other("127.0.0.1", port);
        REQUIRE(other.send_raw("GET /b HTTP/1.1\r\nHost: x\r\n\r\n"));
        CHECK(other.read_answer().status == 200);
    }
}
