/// Links over loopback: authentication, refused input and delivery of every message.

#include "link/codec.hpp"
#include "link/link_hub.hpp"
#include "support/endless_stream.hpp"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

using namespace caraway;

namespace {

constexpr std::size_t max_message = 100'000;

/// Collects the events of one hub.
class event_collector {
public:
    bool record(link_event&& event) {
        std::lock_guard const guard(this->mutex);
        this->events.push_back(std::move(event));
        this->changed.notify_all();
        return true;
    }
    bool wait_for(std::function<bool(std::vector<link_event> const&)> const& condition) {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, std::chrono::seconds(10),
                                      [&] { return condition(this->events); });
    }
    static bool has(std::vector<link_event> const& all, link_event_kind kind) { return count(all, kind) > 0; }
    static std::size_t count(std::vector<link_event> const& all, link_event_kind kind) {
        return static_cast<std::size_t>(
            std::ranges::count_if(all, [kind](link_event const& event) { return event.kind == kind; }));
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<link_event> events;
};

struct test_peer {
    test_peer(std::string const& host, std::string const& secret, link_body_limits bodies = {})
        : hub(
              {host, 1}, secret, max_message,
              [this](link_event&& event) { return this->events.record(std::move(event)); }, {}, bodies) {}

    event_collector events;
    link_hub hub;
};

std::string next_address() {
    static int port = 21'000 + static_cast<int>(::getpid() % 5000);
    return "127.0.0.1:" + std::to_string(++port);
}

void listen_or_fail(link_hub& hub, std::string const& address) {
    attempt_or(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(hub.listen(address));
            return true;
        },
        [](problem const& cause) -> bool {
            FAIL(to_text(cause));
            return false;
        });
}

int raw_connection(std::string const& address) {
    int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in peer_endpoint{};
    peer_endpoint.sin_family = AF_INET;
    peer_endpoint.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
    ::inet_pton(AF_INET, "127.0.0.1", &peer_endpoint.sin_addr);
    REQUIRE(::connect(socket, reinterpret_cast<sockaddr*>(&peer_endpoint), sizeof peer_endpoint) == 0);
    return socket;
}

} // namespace

TEST_CASE("two peers with the same secret exchange every message in order in both directions") {
    auto const address = next_address();
    test_peer server("server", "secret");
    test_peer client("client", "secret");
    listen_or_fail(server.hub, address);
    client.hub.dial(1, address);
    REQUIRE(client.events.wait_for(
        [](auto const& all) { return event_collector::has(all, link_event_kind::opened); }));
    constexpr std::size_t count = 5000;
    for (std::size_t number = 0; number < count; ++number) {
        CHECK(client.hub.send(1, cancel_message{number}));
    }
    REQUIRE(server.events.wait_for(
        [](auto const& all) { return event_collector::count(all, link_event_kind::received) == count; }));
    std::uint64_t expected = 0;
    connection_id reply_connection = 0;
    server.events.wait_for([&](auto const& all) {
        for (auto const& event : all) {
            if (event.kind == link_event_kind::received) {
                CHECK(event.peer.host == "client");
                CHECK(std::get<cancel_message>(event.content).call_id == expected++);
                reply_connection = event.connection;
            }
        }
        return true;
    });
    CHECK(server.hub.send(reply_connection, answer_message{.call_id = 3, .body = std::string(90'000, 'x')}));
    CHECK(client.events.wait_for(
        [](auto const& all) { return event_collector::has(all, link_event_kind::received); }));
    CHECK_FALSE(client.hub.send(1, answer_message{.body = std::string(max_message + 1, 'x')}));
    client.hub.close(1);
    CHECK(server.events.wait_for(
        [](auto const& all) { return event_collector::has(all, link_event_kind::closed); }));
    CHECK_FALSE(server.hub.send(reply_connection, cancel_message{}));
}

TEST_CASE("a long body travels in parts, and other messages pass it") {
    constexpr std::size_t length = 3'000'001;
    auto const address = next_address();
    test_peer server("server", "secret", {.max_body = length});
    test_peer client("client", "secret");
    listen_or_fail(server.hub, address);
    client.hub.dial(1, address);
    REQUIRE(client.events.wait_for(
        [](auto const& all) { return event_collector::has(all, link_event_kind::opened); }));
    std::string body;
    while (body.size() < length) {
        body += std::to_string(body.size()) + ",";
    }
    body.resize(length);
    CHECK(client.hub.send(1, forward_message{.call_id = 1, .body = body}));
    CHECK(client.hub.send(1, cancel_message{2}));
    REQUIRE(server.events.wait_for(
        [](auto const& all) { return event_collector::count(all, link_event_kind::received) == 2; }));
    server.events.wait_for([&](auto const& all) {
        for (auto const& event : all) {
            if (auto const* request = std::get_if<forward_message>(&event.content)) {
                CHECK(request->call_id == 1);
                CHECK_FALSE(request->body_was_dropped);
                CHECK(request->body == body);
            }
        }
        CHECK(std::holds_alternative<forward_message>(all.back().content));
        return true;
    });
}

TEST_CASE("a long body for which there is no memory is dropped, and its message says so") {
    memory_budget budget(1'000'000);
    auto const address = next_address();
    test_peer server("server", "secret", {.max_body = 3'000'000, .memory = &budget});
    test_peer client("client", "secret");
    listen_or_fail(server.hub, address);
    client.hub.dial(1, address);
    REQUIRE(client.events.wait_for(
        [](auto const& all) { return event_collector::has(all, link_event_kind::opened); }));
    CHECK(client.hub.send(1, forward_message{.call_id = 1, .body = std::string(3'000'000, 'x')}));
    CHECK(client.hub.send(1, forward_message{.call_id = 2, .body = std::string(400'000, 'x')}));
    REQUIRE(server.events.wait_for(
        [](auto const& all) { return event_collector::count(all, link_event_kind::received) == 2; }));
    server.events.wait_for([](auto const& all) {
        auto const& first = std::get<forward_message>(all.at(all.size() - 2).content);
        CHECK(first.body_was_dropped);
        CHECK(first.body.empty());
        auto const& second = std::get<forward_message>(all.back().content);
        CHECK_FALSE(second.body_was_dropped);
        CHECK(second.body.size() == 400'000);
        return true;
    });
    CHECK(budget.held() >= 400'000);
    CHECK(budget.held() < 600'000);
}

// A message over an older peer's limit would have ended the link and all that was under way on it.
TEST_CASE("a peer that announces no parts gets no long body, and the request counts as not run") {
    auto const address = next_address();
    test_peer server("server", "secret", {.max_body = 1'000'000});
    listen_or_fail(server.hub, address);
    int const socket = raw_connection(address);
    auto const send = [&](message const& content) {
        auto const bytes = encode(content);
        auto const frame = std::string{'\0', '\0', static_cast<char>(bytes.size() >> 8U),
                                       static_cast<char>(bytes.size() & 0xFFU)} +
                           bytes;
        REQUIRE(::send(socket, frame.data(), frame.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(frame.size()));
    };
    handshake older(handshake::role::dialling, {"older", 1}, "secret");
    send(older.hello());
    std::array<char, 1024> received{};
    auto const size = ::recv(socket, received.data(), received.size(), 0);
    REQUIRE(size > 4);
    attempt_or(
        [&]() -> result<bool> {
            BOOST_LEAF_AUTO(challenge, decode({received.data() + 4, static_cast<std::size_t>(size) - 4}));
            BOOST_LEAF_AUTO(proof, older.receive(challenge));
            send(*proof);
            return true;
        },
        [](problem const& cause) -> bool {
            FAIL(to_text(cause));
            return false;
        });
    REQUIRE(server.events.wait_for(
        [](auto const& all) { return event_collector::has(all, link_event_kind::opened); }));
    connection_id id = 0;
    server.events.wait_for([&id](auto const& all) {
        id = all.back().connection;
        return true;
    });
    CHECK(server.hub.send(id,
                          forward_message{.call_id = 7, .body = std::string(500'000, 'x'), .allowance = 2}));
    server.events.wait_for([](auto const& all) {
        auto const& answer = std::get<answer_message>(all.back().content);
        CHECK(answer.call_id == 7);
        CHECK(answer.result == outcome::not_run);
        CHECK(answer.code == result_code::node_busy);
        CHECK(answer.allowance_left == 2);
        return true;
    });
    CHECK(server.hub.send(id, answer_message{.call_id = 8, .body = std::string(500'000, 'x')}));
    CHECK(server.hub.connection_count() == 1);
    ::close(socket);
}

TEST_CASE("a peer with another secret is refused by both sides") {
    auto const address = next_address();
    test_peer server("server", "secret");
    test_peer untrusted("stranger", "guess");
    listen_or_fail(server.hub, address);
    untrusted.hub.dial(1, address);
    CHECK(untrusted.events.wait_for([](auto const& all) {
        return event_collector::has(all, link_event_kind::refused) &&
               event_collector::has(all, link_event_kind::closed);
    }));
    CHECK(server.events.wait_for(
        [](auto const& all) { return event_collector::has(all, link_event_kind::closed); }));
    server.events.wait_for([](auto const& all) {
        CHECK_FALSE(event_collector::has(all, link_event_kind::opened));
        return true;
    });
}

TEST_CASE("invalid bytes of an unauthenticated peer are refused, whatever frame size they claim") {
    auto const address = next_address();
    test_peer server("server", "secret");
    listen_or_fail(server.hub, address);
    std::vector<std::string> const attacks{std::string("GET / HTTP/1.1\r\n\r\n"),
                                           std::string("\x7f\xff\xff\xff", 4), std::string("\0\0\0\1\xff", 5),
                                           std::string("\0\0\0\4", 4) + std::string("\x9f\x05\xff\xff", 4)};
    std::size_t refused = 0;
    for (auto const& bytes : attacks) {
        int const socket = raw_connection(address);
        REQUIRE(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(bytes.size()));
        ++refused;
        CHECK(server.events.wait_for([&](auto const& all) {
            return event_collector::count(all, link_event_kind::refused) == refused;
        }));
        ::close(socket);
    }
    // A valid message, but before the handshake.
    auto const early = encode(cancel_message{1});
    int const socket = raw_connection(address);
    std::string frame{'\0', '\0', '\0', static_cast<char>(early.size())};
    frame += early;
    ::send(socket, frame.data(), frame.size(), MSG_NOSIGNAL);
    CHECK(server.events.wait_for([&](auto const& all) {
        return event_collector::count(all, link_event_kind::refused) == refused + 1;
    }));
    ::close(socket);
}

TEST_CASE("an unauthenticated peer that sends without end is closed before it has used memory") {
    auto const address = next_address();
    test_peer server("server", "secret");
    listen_or_fail(server.hub, address);
    auto const port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    for (auto const& head :
         {std::string("\0\0\3\xff", 4), std::string("\x7f\xff\xff\xff", 4), std::string()}) {
        tests::raw_connection const peer(port);
        REQUIRE(peer.is_open);
        tests::endless_stream const stream{"frame", head, std::string(tests::filler_bytes, 'a')};
        CHECK(tests::write_endlessly(peer.socket, stream) < tests::max_bytes_taken);
    }
}

TEST_CASE("a silent unauthenticated connection is closed") {
    auto const address = next_address();
    test_peer server("server", "secret");
    listen_or_fail(server.hub, address);
    int const socket = raw_connection(address);
    auto const until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    bool is_closed = false;
    while (!is_closed && std::chrono::steady_clock::now() < until) {
        server.hub.close_overdue_handshakes();
        char byte = 0;
        is_closed = ::recv(socket, &byte, 1, MSG_DONTWAIT) == 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    CHECK(is_closed);
    ::close(socket);
}
