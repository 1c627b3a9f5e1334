/// A stand-in for a target, with slots, service time, calls to other services and several failure modes.
///
/// The query of a request controls it: "work_ms=N" (mean service time), "crash=1" (resets all connections, as
/// a crashing process does), "fail=1" (answers 502), "size=N" (bytes of the body), "hang=1" (holds a slot
/// without answering). `health_path` states how long it is cold.
#pragma once

#include "base/clock.hpp"
#include "standins/http_service.hpp"

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace caraway::standins {

inline constexpr auto health_path = "/health";

/// A call that the target makes for each request.
struct nested_call {
    std::string method;
    std::string path;
};

struct target_behaviour {
    std::string service;
    int slots{50};
    double work_ms{5}; ///< Mean service time: a fixed half plus an exponentially distributed half.
    std::vector<nested_call> calls;
    std::string egress_address; ///< The egress listener of the target's own node.
    std::uint16_t egress_port{0};
    double restart_ms{300}; ///< How long it is unavailable after a crash.
    /// Every request is answered at once with this status, which may be none that HTTP knows.
    std::optional<unsigned int> faulty_status;
};

class target_standin {
public:
    target_standin(std::string const& address, std::uint16_t port, target_behaviour wanted);
    ~target_standin();

    /// Requests received, also those that still wait for a slot, by ticket number or else request id.
    std::map<std::string, int> runs() const;
    std::uint64_t run_count() const { return this->run_total; }
    std::uint64_t crash_count() const { return this->crashes; }
    /// The header fields of all requests as "name: value" lines, up to a size limit; to check for keys that
    /// should have been removed.
    std::string received_headers() const;
    /// Multiplies the service time.
    void set_slowness(double factor) { this->slowness = factor; }
    /// Ends like a crashed process, and is cold for `cold_ms` after it is back. Thread-safe.
    void restart(double down_ms, double cold_ms);
    /// Becomes cold without a restart.
    void become_cold(double cold_ms);
    /// The most requests, health checks included, that arrived in any second while it was cold.
    std::size_t most_in_a_cold_second() const;
    int in_flight() const { return this->busy_slots; }
    int peak_in_flight() const { return this->peak_busy_slots; }

private:
    asio::awaitable<http_response> handle(http_request request);
    asio::awaitable<void> acquire_slot();
    void release_slot();
    asio::awaitable<bool> call_nested(http_request const& served_request, nested_call call);
    void record_request(http_request const& request);
    void record_arrival();
    http_response state_health() const;
    void crash(double down_ms);

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
    time_point cold_until;
    std::vector<time_point> cold_arrivals;
    std::uint64_t random_state;
    http_service service;
};

} // namespace caraway::standins
