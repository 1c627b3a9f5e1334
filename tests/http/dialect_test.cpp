/// Listeners and the target client with a dialect in which some statuses guarantee that a request has not run
/// and answers carry an integrity field.

#include "http/http_listener.hpp"
#include "http/open_or_fail.hpp"
#include "http/scripted_target.hpp"
#include "standins/test_client.hpp"

#include <doctest/doctest.h>

#include <unistd.h>
#include <vector>

using namespace caraway;
using caraway::standins::client_answer;
using caraway::standins::test_client;
using namespace caraway::tests;

namespace {

std::uint16_t next_port() {
    static std::uint16_t port = static_cast<std::uint16_t>(20'000 + ::getpid() % 2000);
    return ++port;
}

/// Sends one request to a target with this script.
target_answer answer_to(std::vector<std::string> script) {
    auto const port = next_port();
    scripted_target target(port, std::move(script));
    strict_client client(port);
    return client.ask("r1");
}

/// A listener that answers each request at once with `reply`.
class answering_listener {
public:
    explicit answering_listener(listener_answer initial_reply)
        : port(next_port()), reply(std::move(initial_reply)),
          listener({.address = "127.0.0.1", .port = this->port, .dialect = strict_dialect()},
                   {.request =
                        [this](listener_request&& request) {
                            auto answer = this->reply;
                            answer.id = request.id;
                            this->seen = std::move(request);
                            this->listener.enqueue_answer(std::move(answer));
                            return true;
                        },
                    .disconnected = [](std::uint64_t) {}}) {
        tests::open_or_fail(this->listener);
    }

    std::uint16_t port;
    listener_request seen;

private:
    listener_answer reply;
    http_listener listener;
};

client_answer answer_of(listener_answer reply) {
    answering_listener fixture(std::move(reply));
    return standins::fetch("127.0.0.1", fixture.port, "GET", "/a");
}

} // namespace

TEST_CASE("the target receives the header fields of the dialect and none of carawaybridge's own") {
    auto const port = next_port();
    scripted_target target(port, {answer_text("200 OK", "Id: r1\r\nMark: m\r\n", "whole")});
    strict_client client(port);
    auto const answer = client.ask("r1");
    CHECK(answer.result == outcome::ran);
    CHECK(answer.body == "whole");
    for (auto const* expected : {"Host: shop.example\r\n", "Id: r1\r\n", "Owner: org\r\n", "From: front\r\n",
                                 "Wanted: i-1\r\n", "Extra: kept\r\n"}) {
        INFO(expected);
        CHECK(target.last_head.find(expected) != std::string::npos);
    }
    CHECK(target.last_head.find("token") == std::string::npos);
    // What is left when the request is written, in whole milliseconds.
    auto const field = target.last_head.find("Time: ");
    REQUIRE(field != std::string::npos);
    auto const value = target.last_head.substr(field + 6, target.last_head.find("\r\n", field) - field - 6);
    CHECK(value.find_first_not_of("0123456789") == std::string::npos);
    CHECK(std::stoi(value) <= 1234);
    CHECK(std::stoi(value) > 234);
}

TEST_CASE("a request counts as not run only if the target states it or another instance answers") {
    auto const refused = answer_to({answer_text("503 Full", "Id: r1\r\nUntouched: 1\r\n", "")});
    CHECK(refused.result == outcome::not_run);
    CHECK(refused.code == result_code::target_refused);
    auto const replaced = answer_to({answer_text("421 Other", "Id: r1\r\n", "")});
    CHECK(replaced.result == outcome::not_run);
    CHECK(replaced.code == result_code::target_replaced);
    for (auto const* status : {"503 Full", "429 Slow", "408 Late"}) {
        INFO(status);
        auto const silent = answer_to({answer_text(status, "Id: r1\r\nMark: m\r\n", "")});
        CHECK(silent.result == outcome::unknown);
        CHECK(silent.code == result_code::target_malformed);
    }
}

TEST_CASE("an answer is accepted only if it is complete and has the integrity field and the request's id") {
    CHECK(answer_to({answer_text("200 OK", "Id: r1\r\n", "unmarked")}).result == outcome::unknown);
    CHECK(answer_to({answer_text("200 OK", "Mark: m\r\n", "no id")}).result == outcome::unknown);
    CHECK(answer_to({"HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\nContent-Length: 100\r\n\r\ncut"}).result ==
          outcome::unknown);
    CHECK(answer_to({"no http at all\r\n\r\n"}).result == outcome::unknown);
    auto const unframed = answer_to({"HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n\r\nuntil the end"});
    CHECK(unframed.result == outcome::ran);
    CHECK(unframed.body == "until the end");
    auto const failed = answer_to({answer_text("500 Bad", "Id: r1\r\nMark: m\r\n", "own failure")});
    CHECK(failed.result == outcome::ran);
    CHECK(failed.status == 500);
}

TEST_CASE("a late answer to another request is skipped, and its connection is not reused") {
    auto const port = next_port();
    auto const own = answer_text("200 OK", "Id: r1\r\nMark: m\r\n", "own");
    auto const late = answer_text("200 OK", "Id: r0\r\nMark: m\r\n", "other's");
    scripted_target target(port, {late + own, own});
    strict_client client(port);
    CHECK(client.ask("r1").body == "own");
    CHECK(client.ask("r1").body == "own");
    CHECK(target.connections == 2);
}

TEST_CASE("a connection with bytes after its answer is not reused") {
    auto const port = next_port();
    auto const own = answer_text("200 OK", "Id: r1\r\nMark: m\r\n", "own");
    scripted_target target(port, {own + "HTTP/1.1 200 OK\r\n", own});
    strict_client client(port);
    CHECK(client.ask("r1").body == "own");
    CHECK(client.ask("r1").body == "own");
    CHECK(target.connections == 2);
}

TEST_CASE("a target that loses an answer but accepts connections is not reported as refusing them") {
    auto const port = next_port();
    target_answer alive;
    {
        scripted_target target(port, {""});
        strict_client client(port);
        alive = client.ask("r1");
    }
    CHECK(alive.code == result_code::target_crashed);
    CHECK_FALSE(alive.refuses_connections);
}

TEST_CASE("a status that means 'not run' is sent only if the request has not run") {
    listener_answer reply{.status = 503, .body = "overloaded\n"};
    reply.metadata =
        answer_metadata{.result = outcome::not_run, .code = result_code::overloaded, .retry_after_ms = 350};
    auto const refused = answer_of(reply);
    CHECK(refused.status == 503);
    CHECK(refused.header("Retry-After") == "0.35");
    CHECK(refused.outcome().empty());
    reply.metadata->result = outcome::unknown;
    CHECK(answer_of(reply).status == 502);
    reply.status = 504;
    reply.metadata = answer_metadata{.result = outcome::not_run, .code = result_code::deadline_passed};
    CHECK(answer_of(reply).status == 503);
    reply.metadata->result = outcome::unknown;
    CHECK(answer_of(reply).status == 504);
}

// Callers got "Content-Length: 0" with such an answer: one must not have the field, and in the others it
// states the length that a GET would have been answered with.
TEST_CASE("an answer that has no body states no length, and the next one follows on its connection") {
    auto const read_head = [](test_client& client, std::string const& method) {
        REQUIRE(client.send_raw(method + " /a HTTP/1.1\r\nHost: x\r\n\r\n"));
        return client.read_head();
    };
    for (unsigned int const status : {204U, 304U}) {
        CAPTURE(status);
        answering_listener fixture({.status = static_cast<std::uint16_t>(status), .body = "to be left out"});
        test_client client("127.0.0.1", fixture.port);
        auto const first_line = "HTTP/1.1 " + std::to_string(status) + " ";
        for (int count = 0; count < 2; ++count) {
            auto const head = read_head(client, "GET");
            CHECK(head.starts_with(first_line));
            CHECK(head.find("Content-Length") == std::string::npos);
            CHECK(head.find("Transfer-Encoding") == std::string::npos);
        }
    }
    answering_listener bodiless({.status = 200});
    test_client client("127.0.0.1", bodiless.port);
    CHECK(read_head(client, "HEAD").find("Content-Length") == std::string::npos);
    CHECK(read_head(client, "GET").find("Content-Length: 0\r\n") != std::string::npos);
    answering_listener refusing({.status = 503, .body = "overloaded\n"});
    test_client other("127.0.0.1", refusing.port);
    CHECK(read_head(other, "HEAD").find("Content-Length: 11\r\n") != std::string::npos);
}

TEST_CASE("the listener reads the dialect's fields and passes on only the hash of the key") {
    answering_listener fixture({.status = 200, .body = "ok"});
    standins::fetch("127.0.0.1", fixture.port, "GET", "/a",
                    {{"Id", "r9"},
                     {"Time", "750"},
                     {"Pass", "secret"},
                     {"From", "forged"},
                     {"Owner", "forged"},
                     {"Extra", "kept"}});
    CHECK(fixture.seen.request_id == "r9");
    CHECK(fixture.seen.timeout_ms == 750);
    CHECK(fixture.seen.key_sha256.size() == 64);
    REQUIRE(fixture.seen.headers.size() == 1);
    CHECK(fixture.seen.headers.front() == header_field{"Extra", "kept"});
}

// A target wrote an earlier refusal once more on a kept connection, and a request that it was running was
// reported as not run.
TEST_CASE("a repeated refusal is not taken for the answer to a later attempt of the same request") {
    auto const port = next_port();
    auto const refusal = answer_text("503 Full", "Id: r1\r\nUntouched: 1\r\n", "");
    auto const other = answer_text("200 OK", "Id: r2\r\nMark: m\r\n", "other");
    auto const own = answer_text("200 OK", "Id: r1\r\nMark: m\r\n", "own");
    scripted_target target(port, {refusal, other, refusal + own}, {own});
    strict_client client(port);
    CHECK(client.ask("r1").result == outcome::not_run);
    CHECK(client.ask("r2").result == outcome::ran);
    auto const answer = client.ask("r1");
    CHECK(answer.result == outcome::ran);
    CHECK(answer.body == "own");
}

TEST_CASE("a repeated refusal is not taken for the answer to another request") {
    auto const refusal = answer_text("503 Full", "Id: r0\r\nUntouched: 1\r\n", "");
    auto const own = answer_text("200 OK", "Id: r1\r\nMark: m\r\n", "own");
    CHECK(answer_to({refusal + refusal + own}).body == "own");
    auto const nameless = answer_text("503 Full", "Untouched: 1\r\n", "");
    CHECK(answer_to({nameless + own}).result == outcome::unknown);
}

TEST_CASE("after a repeated refusal in place of a health check's answer the connection is not used again") {
    auto const port = next_port();
    auto const refusal = answer_text("503 Full", "Id: r0\r\nUntouched: 1\r\n", "");
    auto const health = answer_text("200 OK", "Answering: i-1\r\n", "");
    auto const own = answer_text("200 OK", "Id: r1\r\nMark: m\r\n", "own");
    scripted_target target(port, {refusal, health + own}, {own});
    strict_client client(port);
    auto const checked = client.check_health();
    CHECK(checked.code == result_code::target_replaced);
    CHECK(client.ask("r1").body == "own");
}

// A target stopped in the middle of the head of its answer and closed the connection.
TEST_CASE("an answer that ends anywhere within its head is not taken as whole") {
    for (std::string const fields : {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
        std::string const head = "HTTP/1.1 200 OK\r\nId: r1\r\nMark: m\r\n" + fields + "\r\n";
        for (std::size_t size = 1; size < head.size(); ++size) {
            CAPTURE(head.substr(0, size));
            CHECK(answer_to({head.substr(0, size)}).result == outcome::unknown);
        }
    }
}
