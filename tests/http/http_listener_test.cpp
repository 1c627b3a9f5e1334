/// The caller listener over real sockets: order of answers, limits, disconnects and the handling of keys.

#include "base/digest.hpp"
#include "http/http_listener.hpp"
#include "http/open_or_fail.hpp"
#include "standins/test_client.hpp"
#include "support/resident_memory.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace caraway;
using caraway::standins::client_answer;
using caraway::standins::test_client;

namespace {

constexpr std::size_t max_body = 65'536;
constexpr std::size_t max_header = 4096;

std::uint16_t next_port() {
    static std::uint16_t port = static_cast<std::uint16_t>(26'000 + ::getpid() % 5000);
    return ++port;
}

/// A listener whose requests stay pending until the test answers them.
class manual_listener {
public:
    manual_listener() : port(next_port()), listener(this->make_settings(), this->make_events()) {
        tests::open_or_fail(this->listener);
    }

    bool wait_for_requests(std::size_t count) {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, std::chrono::seconds(10),
                                      [&] { return this->requests.size() >= count; });
    }
    bool wait_for_disconnect() {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, std::chrono::seconds(10),
                                      [&] { return !this->disconnected.empty(); });
    }
    listener_request request(std::size_t index) {
        std::lock_guard const guard(this->mutex);
        return this->requests.at(index);
    }
    std::size_t request_count() {
        std::lock_guard const guard(this->mutex);
        return this->requests.size();
    }
    void answer(std::size_t index, std::string body) {
        this->listener.enqueue_answer(
            {.id = this->request(index).id, .status = 200, .body = std::move(body)});
    }

    std::uint16_t port;

private:
    listener_settings make_settings() const {
        return {.address = "127.0.0.1",
                .port = this->port,
                .max_body = max_body,
                .max_header = max_header,
                .max_connections = 16,
                .idle_timeout_ms = 2000};
    }
    listener_events make_events() {
        return {.request =
                    [this](listener_request&& request) {
                        std::lock_guard const guard(this->mutex);
                        this->requests.push_back(std::move(request));
                        this->changed.notify_all();
                        return true;
                    },
                .disconnected =
                    [this](std::uint64_t id) {
                        std::lock_guard const guard(this->mutex);
                        this->disconnected.push_back(id);
                        this->changed.notify_all();
                    }};
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::vector<listener_request> requests;
    std::vector<std::uint64_t> disconnected;
    http_listener listener;
};

} // namespace

TEST_CASE("pipelined requests are answered in order even if the first is slow") {
    manual_listener fixture;
    test_client client("127.0.0.1", fixture.port);
    REQUIRE(client.send_raw("GET /slow HTTP/1.1\r\nHost: x\r\n\r\nGET /fast HTTP/1.1\r\nHost: x\r\n\r\n"));
    REQUIRE(fixture.wait_for_requests(1));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    // The second request is not processed while the first is pending.
    CHECK(fixture.request_count() == 1);
    fixture.answer(0, "slow");
    REQUIRE(fixture.wait_for_requests(2));
    fixture.answer(1, "fast");
    CHECK(client.read_answer().body == "slow");
    CHECK(client.read_answer().body == "fast");
}

TEST_CASE("a caller's disconnect is detected, and the late answer is dropped") {
    manual_listener fixture;
    test_client client("127.0.0.1", fixture.port);
    REQUIRE(client.send_raw("GET /a HTTP/1.1\r\nHost: x\r\n\r\n"));
    REQUIRE(fixture.wait_for_requests(1));
    client.close();
    CHECK(fixture.wait_for_disconnect());
    fixture.answer(0, "late");
    REQUIRE(client.send_raw("GET /b HTTP/1.1\r\nHost: x\r\n\r\n"));
    REQUIRE(fixture.wait_for_requests(2));
    fixture.answer(1, "b");
    CHECK(client.read_answer().body == "b");
}

TEST_CASE("a key leaves the listener only as its hash") {
    manual_listener fixture;
    test_client client("127.0.0.1", fixture.port);
    REQUIRE(client.send_raw(
        "GET /a HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret-key\r\nCookie: secret-key\r\n"
        "X-Api-Key: secret-key\r\nAccept: text/plain\r\n\r\n"));
    REQUIRE(fixture.wait_for_requests(1));
    auto const request = fixture.request(0);
    CHECK(request.key_sha256 == sha256_hex("secret-key"));
    for (auto const& field : request.headers) {
        CHECK(field.value != "secret-key");
        CHECK(field.name == "Accept");
    }
    fixture.answer(0, "");
    client.read_answer();
}

TEST_CASE("requests that are ambiguous or over a limit are rejected before they are processed") {
    struct bad_request {
        std::string bytes;
        unsigned int status;
    };
    // A body that is framed in a way that is not read must not be read as a request of its own.
    std::string const hidden_request = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n";
    std::vector<bad_request> const cases{
        {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", 400},
        {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello", 400},
        {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         400},
        {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n" + hidden_request, 400},
        {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: identity\r\n\r\n" + hidden_request, 400},
        {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked, gzip\r\n\r\n" + hidden_request, 400},
        {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden_request,
         400},
        {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: "
         "chunked\r\n\r\n0\r\n\r\n",
         400},
        {"POST /a HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden_request, 400},
        {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n", 413},
        {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n", 400},
        {"GET /a HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(2 * max_header, 'x') + "\r\n\r\n", 431},
        {"GET /a HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer a\r\nAuthorization: Bearer b\r\n\r\n", 400},
        {"nonsense\r\n\r\n", 400},
    };
    manual_listener fixture;
    for (auto const& bad : cases) {
        CAPTURE(bad.bytes.substr(0, 90));
        test_client client("127.0.0.1", fixture.port);
        REQUIRE(client.send_raw(bad.bytes));
        auto const answer = client.read_answer();
        CHECK(answer.status == bad.status);
        CHECK(answer.outcome() == "not-run");
    }
    CHECK(fixture.request_count() == 0);
}

TEST_CASE("an endless body uses bounded memory") {
    manual_listener fixture;
    test_client client("127.0.0.1", fixture.port);
    auto const before = tests::resident_kilobytes();
    REQUIRE(client.send_raw("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"));
    std::string const chunk = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
    int sent = 0;
    while (sent < 2000 && client.send_raw(chunk)) {
        ++sent;
    }
    CHECK(sent < 2000);
    CHECK(tests::resident_kilobytes() - before < 8192);
    CHECK(fixture.request_count() == 0);
}

TEST_CASE("connections with an incomplete request are closed, as are connections over the limit") {
    manual_listener fixture;
    test_client slow("127.0.0.1", fixture.port);
    REQUIRE(slow.send_raw("GET /a HTTP/1.1\r\nHo"));
    CHECK(slow.read_answer(std::chrono::seconds(10)).status == 0);
    std::vector<std::unique_ptr<test_client>> incomplete_clients;
    for (int index = 0; index < 40; ++index) {
        incomplete_clients.push_back(std::make_unique<test_client>("127.0.0.1", fixture.port));
        incomplete_clients.back()->send_raw("GET /a HTTP/1.1\r\n");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(3000));
    test_client after("127.0.0.1", fixture.port);
    REQUIRE(after.send_raw("GET /b HTTP/1.1\r\nHost: x\r\n\r\n"));
    REQUIRE(fixture.wait_for_requests(1));
    fixture.answer(0, "b");
    CHECK(after.read_answer().body == "b");
}

// Half a header kept its place for the whole idle timeout.
TEST_CASE("a connection is closed whose header does not end in its time, and a slow one is served") {
    auto const port = next_port();
    http_listener* listening = nullptr;
    http_listener listener(
        {.address = "127.0.0.1", .port = port, .idle_timeout_ms = 600'000, .header_timeout_ms = 1000},
        {.request =
             [&listening](listener_request&& request) {
                 listening->enqueue_answer({.id = request.id, .status = 200});
                 return true;
             },
         .disconnected = [](std::uint64_t) {}});
    listening = &listener;
    tests::open_or_fail(listener);
    test_client unfinished("127.0.0.1", port);
    REQUIRE(unfinished.send_raw("GET /a HTTP/1.1\r\nHost: x\r\n"));
    test_client slow("127.0.0.1", port);
    for (std::string const part : {"GET /a HTTP/1.1\r\n", "Host: x\r\n", "\r\n"}) {
        REQUIRE(slow.send_raw(part));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    CHECK(slow.read_answer().status == 200);
    auto const until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (listener.connection_count() > 1 && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    CHECK(listener.connection_count() == 1);
    REQUIRE(slow.send_raw("GET /b HTTP/1.1\r\nHost: x\r\n\r\n"));
    CHECK(slow.read_answer().status == 200);
}

// A long body had to arrive within one idle timeout, whatever its pace.
TEST_CASE("a body that keeps arriving may take longer than the idle timeout") {
    manual_listener fixture; // Its idle timeout is two seconds.
    test_client client("127.0.0.1", fixture.port);
    constexpr int part_count = 12;
    std::string const part(5000, 'x');
    REQUIRE(client.send_raw("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                            std::to_string(part_count * part.size()) + "\r\n\r\n"));
    for (int count = 0; count < part_count; ++count) {
        REQUIRE(client.send_raw(part));
        std::this_thread::sleep_for(std::chrono::milliseconds(250));
    }
    REQUIRE(fixture.wait_for_requests(1));
    CHECK(fixture.request(0).body.size() == part_count * part.size());
}
