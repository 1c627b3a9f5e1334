/// The target client sends each request only once, whatever the target does.

#include "http/sequential_client.hpp"
#include "http/sequential_target.hpp"
#include "standins/http_service.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unistd.h>

using namespace caraway;
using caraway::tests::sequential_client;
using caraway::tests::sequential_target;
namespace asio = boost::asio;

namespace {

std::uint16_t next_port() {
    static std::uint16_t port = static_cast<std::uint16_t>(31'000 + ::getpid() % 1000);
    return ++port;
}

/// A target that answers the first `answered` requests of all connections, and closes the connection after
/// reading any further one.
class closing_target {
public:
    closing_target(std::uint16_t port, int answered_count)
        : answered(answered_count),
          target(port, [this](asio::ip::tcp::socket& socket) { this->serve(socket); }) {}

    std::atomic<int> arrivals{0};

private:
    void serve(asio::ip::tcp::socket& socket) {
        boost::system::error_code error;
        boost::beast::flat_buffer buffer;
        while (!error) {
            boost::beast::http::request<boost::beast::http::string_body> request;
            boost::beast::http::read(socket, buffer, request, error);
            if (error) {
                break;
            }
            if (++this->arrivals > this->answered) {
                break;
            }
            boost::beast::http::write(socket, standins::make_response(200, "ok"), error);
        }
    }

    int answered;
    sequential_target target; ///< Declared last, since its thread uses the members above.
};

class post_client : public sequential_client {
public:
    using sequential_client::sequential_client;
    target_answer ask(std::string method, double timeout_ms = 5000, bool cancelled = false) {
        return this->send({.method = std::move(method),
                           .path = "/",
                           .body = "pay",
                           .deadline = monotonic_clock::now() + duration{timeout_ms}},
                          cancelled);
    }
};

} // namespace

TEST_CASE(
    "a request that the target reads before closing arrives once, on a new and on a reused connection") {
    for (int const answered : {0, 1}) {
        auto const port = next_port();
        closing_target target(port, answered);
        post_client client(port);
        for (int index = 0; index < answered; ++index) {
            CHECK(client.ask("POST").result == outcome::ran);
        }
        auto const answer = client.ask("POST");
        CHECK(answer.result == outcome::unknown);
        CHECK(answer.code == result_code::target_crashed);
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        CHECK(target.arrivals == answered + 1);
    }
}

// A cancellation that met a full queue was dropped, and the target ran a request that nobody waited for.
TEST_CASE("a request is cancelled although the client's queue is full") {
    auto const port = next_port();
    closing_target target(port, 1);
    event_loop_thread loop;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<target_answer> answers;
    target_client client(
        {.address = "127.0.0.1", .port = port, .max_requests = 1},
        [&](target_answer&& answer) {
            std::lock_guard const guard(mutex);
            answers.push_back(std::move(answer));
            changed.notify_all();
        },
        event_loop_handle(loop));
    REQUIRE(client.send(
        {.id = 1, .method = "GET", .path = "/", .deadline = monotonic_clock::now() + duration{5000}}));
    client.cancel(1);
    loop.start();
    {
        std::unique_lock lock(mutex);
        REQUIRE(changed.wait_for(lock, std::chrono::seconds(10), [&] { return !answers.empty(); }));
        CHECK(answers.front().result == outcome::not_run);
        CHECK(answers.front().code == result_code::cancelled);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(target.arrivals == 0);
    loop.stop();
}

TEST_CASE("a request to an unreachable target has not run") {
    post_client client(next_port());
    auto const answer = client.ask("POST");
    CHECK(answer.result == outcome::not_run);
    CHECK(answer.code == result_code::target_unreachable);
}

TEST_CASE("a cancelled or timed-out request may have run, and its connection is not reused") {
    auto const port = next_port();
    std::atomic<int> connections{0};
    standins::http_service target(
        "127.0.0.1", port, [&](standins::http_request) -> asio::awaitable<standins::http_response> {
            asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(400));
            co_await timer.async_wait(asio::use_awaitable);
            co_return standins::make_response(200, "late");
        });
    post_client client(port);
    CHECK(client.ask("GET", 5000, true).code == result_code::cancelled);
    CHECK(client.ask("GET", 100).code == result_code::deadline_passed);
    auto const answer = client.ask("GET");
    CHECK(answer.body == "late");
    CHECK(answer.result == outcome::ran);
}

// After it has been written nobody could tell whether it had run.
TEST_CASE("a request that may not be repeated is not cancelled once it has been written") {
    auto const port = next_port();
    standins::http_service target(
        "127.0.0.1", port, [&](standins::http_request) -> asio::awaitable<standins::http_response> {
            asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(400));
            co_await timer.async_wait(asio::use_awaitable);
            co_return standins::make_response(200, "done");
        });
    sequential_client client(port);
    auto const answer = client.send({.method = "POST",
                                     .path = "/",
                                     .deadline = monotonic_clock::now() + duration{5000},
                                     .idempotent = false},
                                    true);
    CHECK(answer.result == outcome::ran);
    CHECK(answer.body == "done");
}

// Answers to health checks have neither the request's id nor the field that every other answer has.
TEST_CASE("a health check tells how long the target is cold, and nothing where another instance answers") {
    auto const port = next_port();
    std::atomic<bool> is_cold{true};
    standins::http_service target("127.0.0.1", port,
                                  [&](standins::http_request) -> asio::awaitable<standins::http_response> {
                                      auto response = standins::make_response(200, "");
                                      response.set("Instance", "i-1");
                                      if (is_cold) {
                                          response.set("Cold", "1500");
                                      }
                                      co_return response;
                                  });
    sequential_client client(port, {.integrity = "Seal",
                                    .target_cold = "Cold",
                                    .answering_instance = "Instance",
                                    .checks_request_id = true});
    target_request const check{.method = "GET",
                               .path = "/health",
                               .deadline = monotonic_clock::now() + duration{5000},
                               .instance = "i-1",
                               .is_health_check = true};
    auto const cold = client.send(check);
    CHECK(cold.code == result_code::ok);
    REQUIRE(cold.statement);
    CHECK(cold.statement->cold_ms == 1500.0);
    is_cold = false;
    auto const warm = client.send(check);
    REQUIRE(warm.statement);
    CHECK(warm.statement->cold_ms == 0.0);
    auto other = check;
    other.instance = "i-2";
    auto const replaced = client.send(other);
    CHECK(replaced.code == result_code::target_replaced);
    CHECK_FALSE(replaced.statement);
}

namespace {

/// Sends five requests at once to a target that takes 300 ms for each; the last one waits for a connection
/// of the others. Returns what the target was told to be left of its time, or -1 when it never arrived.
double time_told_after_wait(double time_left_ms, target_answer& last_answer) {
    constexpr std::uint64_t last = 5;
    auto const port = next_port();
    std::atomic<double> told{-1};
    standins::http_service target(
        "127.0.0.1", port, [&](standins::http_request request) -> asio::awaitable<standins::http_response> {
            if (request["Request-Id"] == "last") {
                told = std::stod("0" + std::string(request["Time-Left"]));
            }
            asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(300));
            co_await timer.async_wait(asio::use_awaitable);
            co_return standins::make_response(200, "");
        });
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t answers = 0;
    target_client client({.address = "127.0.0.1",
                          .port = port,
                          .max_connection_wait = duration{2000},
                          .dialect = {.request_id = "Request-Id", .deadline = "Time-Left"}},
                         [&](target_answer&& answer) {
                             std::lock_guard const guard(mutex);
                             last_answer = answer.id == last ? answer : last_answer;
                             ++answers;
                             changed.notify_all();
                         });
    client.start();
    for (std::uint64_t id = 1; id <= last; ++id) {
        double const left = id == last ? time_left_ms : 5000;
        REQUIRE(client.send({.id = id,
                             .method = "GET",
                             .path = "/",
                             .deadline = monotonic_clock::now() + duration{left},
                             .request_id = id == last ? "last" : "first"}));
    }
    std::unique_lock lock(mutex);
    REQUIRE(changed.wait_for(lock, std::chrono::seconds(10), [&] { return answers == last; }));
    return told;
}

} // namespace

// The time left was worked out before the wait for a connection and written after it.
TEST_CASE("the time that a request waits for a connection is taken off what the target is told") {
    target_answer answer;
    double const told = time_told_after_wait(1000, answer);
    CHECK(told > 0);
    CHECK(told <= 750);
}

TEST_CASE("a request whose time is used up while it waits for a connection has not run") {
    target_answer answer;
    CHECK(time_told_after_wait(100, answer) == -1);
    CHECK(answer.result == outcome::not_run);
    CHECK(answer.code == result_code::deadline_passed);
}
