#include "standins/load_generator.hpp"

#include <boost/beast/http.hpp>

#include <algorithm>
#include <cmath>

namespace caraway::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Requests beyond this are not sent, so that the generator does not become overloaded before the system
/// under test.
constexpr std::size_t max_in_flight = 20'000;

std::chrono::microseconds to_duration(double milliseconds) {
    return std::chrono::microseconds(static_cast<std::int64_t>(std::max(0.0, milliseconds) * 1000));
}

} // namespace

double quantile(std::vector<double> values, double fraction) {
    if (values.empty()) {
        return 0;
    }
    auto const index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(index));
    return values[index];
}

load_generator::load_generator(std::vector<load_stream> wanted, std::uint64_t seed)
    : streams(std::move(wanted)), rate_factors(streams.size(), 1.0), random(seed) {}

void load_generator::run_at(double milliseconds, std::function<void()> action) {
    this->actions.emplace_back(milliseconds, std::move(action));
}

double load_generator::now_ms() const {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - this->started)
        .count();
}

std::vector<load_result> load_generator::run(double span_ms) {
    this->started = std::chrono::steady_clock::now();
    for (std::size_t stream = 0; stream < this->streams.size(); ++stream) {
        asio::co_spawn(this->io, this->generate(stream, span_ms), asio::detached);
    }
    for (auto const& [at_ms, action] : this->actions) {
        auto const timer = std::make_shared<asio::steady_timer>(this->io, this->started + to_duration(at_ms));
        timer->async_wait([timer, run = action](boost::system::error_code) { run(); });
    }
    this->io.run();
    this->idle_connections.clear();
    return std::move(this->results);
}

asio::awaitable<void> load_generator::generate(std::size_t stream, double span_ms) {
    asio::steady_timer timer(this->io);
    double next = 0;
    while (next < span_ms) {
        double const rate = this->streams[stream].per_second * this->rate_factors[stream];
        if (rate <= 0) {
            next += 10;
        } else {
            next += std::exponential_distribution<double>(rate / 1000)(this->random);
        }
        timer.expires_at(this->started + to_duration(next));
        co_await timer.async_wait(asio::use_awaitable);
        if (rate > 0 && this->in_flight < max_in_flight && next < span_ms) {
            asio::co_spawn(this->io, this->request(stream, next), asio::detached);
        }
    }
}

asio::awaitable<void> load_generator::request(std::size_t stream, double begin_ms) {
    auto const& wanted = this->streams[stream];
    ++this->in_flight;
    load_result result{.stream = stream, .begin_ms = begin_ms};
    for (int copy = 0; copy <= wanted.resends; ++copy) {
        double const left = wanted.timeout_ms - (this->now_ms() - begin_ms);
        if (left <= 0 || result.succeeded) {
            break;
        }
        auto const& entry = wanted.entries[this->random() % wanted.entries.size()];
        ++result.attempts;
        int const code = co_await this->attempt(wanted, entry, left, result.succeeded);
        result.answered = result.answered || code >= 0;
        if (copy == 0) {
            result.first_code = code;
        }
    }
    result.taken_ms = this->now_ms() - begin_ms;
    result.succeeded = result.succeeded && result.taken_ms <= wanted.timeout_ms;
    this->results.push_back(result);
    --this->in_flight;
}

asio::awaitable<int> load_generator::attempt(load_stream const& stream, load_entry const& entry,
                                             double left_ms, bool& succeeded) {
    auto& pool = this->idle_connections[entry.address + ":" + std::to_string(entry.port)];
    std::unique_ptr<boost::beast::tcp_stream> connection;
    boost::system::error_code error;
    if (pool.empty()) {
        connection = std::make_unique<boost::beast::tcp_stream>(this->io);
        connection->expires_after(to_duration(left_ms));
        asio::ip::tcp::endpoint const endpoint(asio::ip::make_address(entry.address), entry.port);
        co_await connection->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return -1;
        }
        connection->socket().set_option(asio::ip::tcp::no_delay(true), error);
    } else {
        connection = std::move(pool.back());
        pool.pop_back();
    }
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(stream.method);
    message.target(stream.path);
    message.set(http::field::host, "load");
    if (!stream.key.empty()) {
        message.set(http::field::authorization, "Bearer " + stream.key);
    }
    message.set("X-Request-Timeout-Ms", std::to_string(left_ms));
    connection->expires_after(to_duration(left_ms));
    co_await http::async_write(*connection, message, asio::redirect_error(asio::use_awaitable, error));
    http::response<http::string_body> response;
    if (!error) {
        boost::beast::flat_buffer buffer;
        co_await http::async_read(*connection, buffer, response,
                                  asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
        co_return -1;
    }
    succeeded = response.result_int() == 200;
    auto const code = response["X-Caraway-Code"];
    int const number = code.empty() ? 0 : std::atoi(std::string(code).c_str());
    if (response.keep_alive()) {
        connection->expires_never();
        this->idle_connections[entry.address + ":" + std::to_string(entry.port)].push_back(
            std::move(connection));
    }
    co_return number;
}

} // namespace caraway::standins
