/// Open-loop load on loopback: requests leave on time whatever came of earlier ones. Bounded in rate and
/// time.
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

/// Where requests go in.
struct load_entry {
    std::string address;
    std::uint16_t port{0};
};

/// A stream of like requests.
struct load_stream {
    std::string name;         ///< Of the kind of request.
    std::string organisation; ///< For the results only.
    std::string key;
    std::string method{"GET"};
    std::string path;
    double per_second{0};
    int resends{0}; ///< A caller tries again at once this many times.
    double timeout_ms{1000};
    std::vector<load_entry> entries;
};

/// One request of a caller, with its resends.
struct load_result {
    std::size_t stream{0};
    double begin_ms{0}; ///< Since the load began.
    double taken_ms{0};
    bool succeeded{false}; ///< A good answer came in time.
    bool answered{false};  ///< Some answer came.
    int first_code{0};     ///< Result code of the first try.
    unsigned int attempts{0};
};

class load_generator {
public:
    load_generator(std::vector<load_stream> wanted, std::uint64_t seed);

    /// Multiplies a stream's rate from now on; for use in `at`.
    void set_factor(std::size_t stream, double factor) { this->rate_factors.at(stream) = factor; }

    /// Runs an action at a time after the start.
    void run_at(double milliseconds, std::function<void()> action);

    /// Runs for the span, then waits for what is under way.
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

/// The value below which the given part of the sorted values lies; 0 when there are none.
double quantile(std::vector<double> values, double fraction);

} // namespace caraway::standins
