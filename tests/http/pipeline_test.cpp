/// Pipelined requests of one connection are processed concurrently and answered in order.

#include "http/http_listener.hpp"
#include "http/open_or_fail.hpp"
#include "standins/test_client.hpp"

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace caraway;
using caraway::standins::test_client;

namespace {

std::uint16_t next_port() {
    static std::uint16_t port = static_cast<std::uint16_t>(23'000 + ::getpid() % 2000);
    return ++port;
}

/// A listener that processes four requests of a connection concurrently; they stay pending until the test
/// answers.
class pipelining_listener {
public:
    pipelining_listener()
        : port(next_port()),
          listener(
              {.address = "127.0.0.1", .port = this->port, .max_pipeline = 4},
              {.request =
                   [this](listener_request&& request) { return this->record_request(std::move(request)); },
               .disconnected = [this](std::uint64_t) { this->record_disconnect(); }}) {
        tests::open_or_fail(this->listener);
    }

    bool wait_for(std::size_t requests, std::size_t disconnects = 0,
                  std::chrono::milliseconds limit = std::chrono::seconds(10)) {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(
            lock, limit, [&] { return this->ids.size() >= requests && this->disconnected >= disconnects; });
    }
    void answer(std::size_t index, std::string body) {
        this->listener.enqueue_answer({.id = this->ids.at(index), .status = 200, .body = std::move(body)});
    }
    void drain() { this->listener.drain(); }
    bool has_requests() {
        std::lock_guard const guard(this->mutex);
        return !this->ids.empty();
    }

    std::uint16_t port;

private:
    bool record_request(listener_request&& request) {
        std::lock_guard const guard(this->mutex);
        this->ids.push_back(request.id);
        this->changed.notify_all();
        return true;
    }
    void record_disconnect() {
        std::lock_guard const guard(this->mutex);
        ++this->disconnected;
        this->changed.notify_all();
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::uint64_t> ids;
    std::size_t disconnected{0};
    http_listener listener;
};

std::string const two_requests = "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

TEST_CASE("pipelined requests are started together and answered in order") {
    pipelining_listener fixture;
    test_client client("127.0.0.1", fixture.port);
    REQUIRE(client.send_raw(two_requests));
    REQUIRE(fixture.wait_for(2));
    fixture.answer(1, "second");
    fixture.answer(0, "first");
    CHECK(client.read_answer().body == "first");
    CHECK(client.read_answer().body == "second");
}

TEST_CASE("all answers reach their callers even if more are given at once than the queue holds") {
    // The answer queue of a listener for one connection holds 66 answers.
    constexpr std::size_t count = 100;
    event_loop_thread loop;
    auto const port = next_port();
    std::vector<std::uint64_t> ids;
    http_listener* listener_pointer = nullptr;
    http_listener listener(
        {.address = "127.0.0.1", .port = port, .max_connections = 1, .max_pipeline = count},
        {.request =
             [&](listener_request&& request) {
                 ids.push_back(request.id);
                 if (ids.size() == count) {
                     boost::asio::post(loop.context(), [&] {
                         for (auto const id : ids) {
                             listener_pointer->enqueue_answer(
                                 {.id = id, .status = 200, .body = std::to_string(id)});
                         }
                     });
                 }
                 return true;
             },
         .disconnected = [](std::uint64_t) {}},
        event_loop_handle(loop));
    listener_pointer = &listener;
    loop.start();
    tests::open_or_fail(listener);
    test_client client("127.0.0.1", port);
    std::string requests;
    for (std::size_t number = 0; number < count; ++number) {
        requests += "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    }
    REQUIRE(client.send_raw(requests));
    std::size_t answered = 0;
    while (answered < count && client.read_answer().status == 200) {
        ++answered;
    }
    CHECK(answered == count);
    loop.stop();
}

TEST_CASE("a caller's disconnect is reported for each of its pipelined requests") {
    pipelining_listener fixture;
    test_client client("127.0.0.1", fixture.port);
    REQUIRE(client.send_raw(two_requests));
    REQUIRE(fixture.wait_for(2));
    client.close();
    CHECK(fixture.wait_for(2, 2));
}

// A session whose pipeline was full took the bytes of further requests for a sign that its caller was
// connected.
TEST_CASE(
    "a caller's disconnect behind requests that are not read yet is reported, and they are not processed") {
    pipelining_listener fixture;
    test_client client("127.0.0.1", fixture.port);
    REQUIRE(client.send_raw(two_requests + two_requests));
    REQUIRE(fixture.wait_for(4));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    REQUIRE(client.send_raw(two_requests));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    client.close();
    CHECK(fixture.wait_for(4, 4));
    fixture.answer(0, "late");
    CHECK_FALSE(fixture.wait_for(5, 4, std::chrono::milliseconds(500)));
}

// The same for a caller that sends more behind a request that ends its connection.
TEST_CASE("a caller's disconnect behind bytes after its last request is reported") {
    pipelining_listener fixture;
    test_client client("127.0.0.1", fixture.port);
    REQUIRE(client.send_raw("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
    REQUIRE(fixture.wait_for(1));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    REQUIRE(client.send_raw(two_requests));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    client.close();
    CHECK(fixture.wait_for(1, 1));
}

// The same for a connection that ends because the listener drains.
TEST_CASE("a caller's disconnect behind requests that a draining listener does not read is reported") {
    pipelining_listener fixture;
    test_client client("127.0.0.1", fixture.port);
    fixture.drain();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    REQUIRE(client.send_raw(two_requests));
    REQUIRE(fixture.wait_for(1));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    REQUIRE(client.send_raw(two_requests));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    client.close();
    CHECK(fixture.wait_for(1, 1));
}

// The end of the stream within a request was taken for a malformed request of a caller that waits for its
// answers.
TEST_CASE("a caller's disconnect in the middle of its next request is reported for the one before") {
    pipelining_listener fixture;
    test_client client("127.0.0.1", fixture.port);
    REQUIRE(client.send_raw("GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HT"));
    REQUIRE(fixture.wait_for(1));
    client.close();
    CHECK(fixture.wait_for(1, 1));
}

TEST_CASE("requests beyond the pipeline's length are processed as answers make room") {
    pipelining_listener fixture;
    test_client client("127.0.0.1", fixture.port);
    REQUIRE(client.send_raw(two_requests + two_requests));
    REQUIRE(fixture.wait_for(4));
    REQUIRE(client.send_raw(two_requests));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    for (std::size_t index = 0; index < 6; ++index) {
        REQUIRE(fixture.wait_for(index + 1));
        fixture.answer(index, std::to_string(index));
        CHECK(client.read_answer().body == std::to_string(index));
    }
}

TEST_CASE("a draining listener answers every request it has read before it closes the connection") {
    pipelining_listener fixture;
    test_client client("127.0.0.1", fixture.port);
    REQUIRE(client.send_raw(two_requests));
    REQUIRE(fixture.wait_for(2));
    fixture.drain();
    fixture.answer(0, "first");
    auto const first = client.read_answer();
    CHECK(first.body == "first");
    CHECK(first.header("Connection") != "close");
    fixture.answer(1, "second");
    auto const second = client.read_answer();
    CHECK(second.body == "second");
    CHECK(second.header("Connection") == "close");
}

TEST_CASE("a body over the limit is answered with 413 even if the caller keeps sending for a while") {
    pipelining_listener fixture;
    test_client client("127.0.0.1", fixture.port);
    REQUIRE(client.send_raw("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1500000\r\n\r\n"));
    for (int part = 0; part < 15; ++part) {
        client.send_raw(std::string(100'000, 'x'));
    }
    CHECK(client.read_answer().status == 413);
}

TEST_CASE("a request with two Host fields is rejected and not processed") {
    pipelining_listener fixture;
    test_client client("127.0.0.1", fixture.port);
    REQUIRE(client.send_raw("GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n"));
    CHECK(client.read_answer().status == 400);
    CHECK_FALSE(fixture.has_requests());
}
