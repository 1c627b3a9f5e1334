/// Stands in for a target: slots, service time, calls to further services, and its ways to fail.
///
/// A request may steer it by its query: "work_ms=N", "crash=1" (cuts everything, as a dying process does),
/// "fail=1", "size=N" (bytes of the answer), "hang=1".
#pragma once

#include "standins/http_service.hpp"

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace caraway::standins {

/// A call that the target makes for each request.
struct nested_call {
    std::string method;
    std::string path;
};

struct target_behaviour {
    std::string service;
    int slots{50};
    double work_ms{5}; ///< Mean of an exponential part over a fixed half.
    std::vector<nested_call> calls;
    std::string egress_address; ///< The own node's door for such calls.
    std::uint16_t egress_port{0};
    double restart_ms{300}; ///< How long it is away after a crash.
};

class target_standin {
public:
    target_standin(std::string const& address, std::uint16_t port, target_behaviour wanted);
    ~target_standin();

    /// Runs begun, by the ticket number or else the request id that came with them.
    std::map<std::string, int> runs() const;
    std::uint64_t run_count() const { return this->run_total; }
    std::uint64_t crash_count() const { return this->crashes; }
    /// All header fields that ever came, as "name: value" lines, for looking for keys.
    std::string received_headers() const;
    /// Multiplies the time of work.
    void set_slowness(double factor) { this->slowness = factor; }
    int in_flight() const { return this->busy_slots; }
    int peak_in_flight() const { return this->peak_busy_slots; }

private:
    asio::awaitable<http_response> handle(http_request request);
    asio::awaitable<void> acquire_slot();
    void release_slot();
    asio::awaitable<bool> call_nested(http_request const& served_request, nested_call call);
    void record_request(http_request const& request);
    void crash();

    target_behaviour behaviour;
    std::atomic<double> slowness{1};
    std::atomic<std::uint64_t> run_total{0};
    std::atomic<std::uint64_t> crashes{0};
    std::atomic<int> busy_slots{0};
    std::atomic<int> peak_busy_slots{0};
    std::deque<std::shared_ptr<asio::steady_timer>> waiting;
    std::vector<std::unique_ptr<boost::beast::tcp_stream>> idle_connections;
    mutable std::mutex mutex;
    std::map<std::string, int> run_counts;
    std::string headers;
    std::uint64_t random_state;
    http_service service;
};

} // namespace caraway::standins
