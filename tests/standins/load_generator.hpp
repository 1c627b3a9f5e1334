/// An open-loop load generator for the loopback network: requests are sent on schedule whether or not
/// earlier ones have completed. The number in flight and the duration are bounded.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace caraway::standins {

/// An address to which requests are sent.
struct load_entry {
    std::string address;
    std::uint16_t port{0};
};

/// A stream of identical requests with exponentially distributed intervals.
struct load_stream {
    std::string name;         ///< The name of this kind of request.
    std::string organisation; ///< Only used to group the results.
    std::string key;
    std::string method{"GET"};
    std::string path;
    double per_second{0};
    int resends{0}; ///< How often a caller retries, without a delay.
    double timeout_ms{1000};
    std::vector<load_entry> entries;
};

/// The result of one request, including its retries.
struct load_result {
    std::size_t stream{0};
    double begin_ms{0}; ///< Since the start of the load.
    double taken_ms{0};
    bool succeeded{false}; ///< A response with status 200 arrived within the timeout.
    bool answered{false};  ///< At least one attempt got a response.
    int first_code{0};     ///< Result code of the first attempt; -1 when it got no response.
    unsigned int attempts{0};
};

class load_generator {
public:
    load_generator(std::vector<load_stream> wanted, std::uint64_t seed);

    /// Multiplies a stream's rate from now on; to be called by an action of `run_at`.
    void set_factor(std::size_t stream, double factor) { this->rate_factors.at(stream) = factor; }

    /// Schedules an action at a time after the start.
    void run_at(double milliseconds, std::function<void()> action);

    /// Generates load for `span_ms`, then waits for the requests in flight.
    std::vector<load_result> run(double span_ms);

private:
    using connection_pool = std::vector<std::unique_ptr<boost::beast::tcp_stream>>;

    boost::asio::awaitable<void> generate(std::size_t stream, double span_ms);
    boost::asio::awaitable<void> request(std::size_t stream, double begin_ms);
    boost::asio::awaitable<int> attempt(load_stream const& stream, load_entry const& entry, double left_ms,
                                        bool& succeeded);
    double now_ms() const;

    std::vector<load_stream> streams;
    std::vector<double> rate_factors;
    std::mt19937_64 random;
    boost::asio::io_context io{1};
    std::map<std::string, connection_pool> idle_connections;
    std::vector<load_result> results;
    std::vector<std::pair<double, std::function<void()>>> actions;
    std::chrono::steady_clock::time_point started;
    std::size_t in_flight{0};
};

/// The quantile of the values at `fraction`, without interpolation; 0 when there are none.
double quantile(std::vector<double> values, double fraction);

} // namespace caraway::standins
