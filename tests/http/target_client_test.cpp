/// The client of the own target: one arrival for each request, whatever the target does.

#include "http/target_client.hpp"
#include "standins/http_service.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unistd.h>

using namespace caraway;
namespace asio = boost::asio;

namespace {

std::uint16_t next_port() {
    static std::uint16_t port = static_cast<std::uint16_t>(31'000 + ::getpid() % 1000);
    return ++port;
}

/// A target that reads each request and then closes, answering the first `answered` of them.
class closing_target {
public:
    closing_target(std::uint16_t port, int answered_count) : answered(answered_count) {
        asio::ip::tcp::endpoint const place(asio::ip::make_address("127.0.0.1"), port);
        this->acceptor.open(place.protocol());
        this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        this->acceptor.bind(place);
        this->acceptor.listen();
        this->worker = std::thread([this] { this->run(); });
    }
    ~closing_target() {
        this->stopping = true;
        // Wakes the accept; the thread must not outlive the members that it uses.
        asio::io_context own;
        asio::ip::tcp::socket waker(own);
        boost::system::error_code ignored;
        waker.connect(this->acceptor.local_endpoint(), ignored);
        this->worker.join();
    }

    std::atomic<int> arrivals{0};

private:
    void run() {
        while (!this->stopping) {
            boost::system::error_code error;
            asio::ip::tcp::socket socket(this->io);
            this->acceptor.accept(socket, error);
            if (this->stopping) {
                return;
            }
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
    }

    int answered;
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor{io};
    std::atomic<bool> stopping{false};
    std::thread worker;
};

class asking_client {
public:
    explicit asking_client(std::uint16_t port)
        : client({.address = "127.0.0.1", .port = port}, [this](target_answer&& answer) {
              std::lock_guard const guard(this->mutex);
              this->answers.push_back(std::move(answer));
              this->changed.notify_all();
          }) {
        this->client.start();
    }
    target_answer ask(std::string method, double timeout_ms = 5000, bool cancelled = false) {
        auto const id = ++this->last_id;
        REQUIRE(this->client.send(
            {.id = id, .method = std::move(method), .path = "/", .body = "pay", .timeout_ms = timeout_ms}));
        if (cancelled) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            this->client.cancel(id);
        }
        std::unique_lock lock(this->mutex);
        REQUIRE(this->changed.wait_for(lock, std::chrono::seconds(10),
                                       [&] { return this->answers.size() == id; }));
        return this->answers.back();
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<target_answer> answers;
    std::uint64_t last_id{0};
    target_client client;
};

} // namespace

TEST_CASE(
    "a request that the target read before closing arrives once, on a fresh and on a reused connection") {
    for (int const answered : {0, 1}) {
        auto const port = next_port();
        closing_target target(port, answered);
        asking_client client(port);
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

TEST_CASE("a target that is not there has surely not run anything") {
    asking_client client(next_port());
    auto const answer = client.ask("POST");
    CHECK(answer.result == outcome::not_run);
    CHECK(answer.code == result_code::target_unreachable);
}

TEST_CASE("a cancelled or overdue request may have run, and its connection is not used again") {
    auto const port = next_port();
    std::atomic<int> connections{0};
    standins::http_service target(
        "127.0.0.1", port, [&](standins::http_request) -> asio::awaitable<standins::http_response> {
            asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(400));
            co_await timer.async_wait(asio::use_awaitable);
            co_return standins::make_response(200, "late");
        });
    asking_client client(port);
    CHECK(client.ask("GET", 5000, true).code == result_code::cancelled);
    CHECK(client.ask("GET", 100).code == result_code::deadline_passed);
    auto const answer = client.ask("GET");
    CHECK(answer.body == "late");
    CHECK(answer.result == outcome::ran);
}
