/// HTTP/1.1 server, built on Boost.Beast, for requests of callers and for the calls that the local target
/// makes.
///
/// Runs on its own event loop or on a shared one. Pipelined requests of a connection are processed
/// concurrently, up to a bound, and answered in order. Only the hash of a caller's key leaves this class.
#pragma once

#include "base/arrival.hpp"
#include "base/bounded_queue.hpp"
#include "base/clock.hpp"
#include "base/event_loop_thread.hpp"
#include "base/header_field.hpp"
#include "base/memory_budget.hpp"
#include "base/message_body.hpp"
#include "base/problem.hpp"
#include "base/result_code.hpp"
#include "http/http_dialect.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace caraway {

/// Whether a listener serves callers from outside or the local target's own calls.
enum class listener_side : std::uint8_t { callers, egress };

/// A request that has been read completely.
struct listener_request {
    std::uint64_t id{0}; ///< The answer names the request by this id (`listener_answer::id`).
    listener_side side{listener_side::callers};
    std::string method;
    std::string authority; ///< Value of the Host field.
    std::string path;      ///< Includes the query.
    header_list headers;
    message_body body;
    std::string key_sha256;      ///< Empty if the request has no key.
    std::string context_token;   ///< Token of the request that the local target is serving; empty if absent.
    std::string idempotency_key; ///< A caller's ticket; on the egress listener, the target's own key.
    std::string request_id;
    std::string traceparent;
    double timeout_ms{0}; ///< Time limit set by the caller; 0 if it set none.
    arrival arrived;
};

/// Outcome and retry advice that carawaybridge adds to an answer.
struct answer_metadata {
    outcome result{outcome::unknown};
    result_code code{result_code::ok};
    std::string request_id;
    std::string ticket;       ///< For the next attempt; empty if there is none.
    double retry_after_ms{0}; ///< 0 if the answer has no Retry-After.
};

struct listener_answer {
    std::uint64_t id{0};
    std::uint16_t status{500};
    header_list headers;
    message_body body;
    std::optional<answer_metadata> metadata;
};

struct listener_settings {
    std::string address;
    std::uint16_t port{0};
    listener_side side{listener_side::callers};
    std::size_t max_body{1'048'576};
    std::size_t max_header{16'384};
    std::size_t max_connections{4096};
    double idle_timeout_ms{30'000};
    /// Of a header, from its first byte to its end.
    double header_timeout_ms{10'000};
    /// What the connections hold is drawn from it; without one it is not bounded.
    memory_budget* memory{nullptr};
    /// Requests of one connection that are processed concurrently; further ones stay unread.
    std::size_t max_pipeline{1};
    http_dialect dialect;
};

/// Callbacks of the listener; they run on its event loop and must not block.
struct listener_events {
    /// Returns false if the request can't be accepted; the listener then answers node_busy.
    std::function<bool(listener_request&&)> request;
    /// The connection of a request that has not been answered is closed.
    std::function<void(std::uint64_t id)> disconnected;
};

class http_session;

class http_listener {
public:
    http_listener(listener_settings initial_options, listener_events handlers,
                  event_loop_handle used_loop = {});
    ~http_listener();
    http_listener(http_listener const&) = delete;
    http_listener& operator=(http_listener const&) = delete;

    result<void> open();

    /// Thread-safe. Drops the answer if the caller has disconnected.
    void enqueue_answer(listener_answer&& value);

    /// From now on, each connection closes once its last pending answer is sent. Idle and new connections are
    /// still served.
    void drain();
    /// Stops accepting and closes the connections that wait for no answer; the last step, after `drain`.
    void close_idle();

    /// Requests that were read and whose answers have not been written to the end.
    std::size_t unanswered_count() const { return this->unanswered; }
    std::size_t connection_count() const { return *this->open_connections; }
    std::uint64_t unreadable_request_count() const { return this->unreadable_requests; }
    /// Connections closed to make room for others: for their place, or for the memory that they held.
    std::uint64_t displaced_connection_count() const { return this->displaced_connections; }

private:
    friend class http_session;

    void accept();
    void on_accepted(boost::asio::ip::tcp::socket&& socket);
    /// Goes on accepting after a pause: the process has no descriptor left.
    void accept_later();
    /// Closes the connection that has the least use of its place; false if all are in use.
    bool free_place();
    /// Refuses a request that is still arriving, of another connection than the claimant.
    bool refuse_arriving(memory_budget::claimant const& wanting);
    /// Closes the connection of a caller that reads its answer too slowly.
    bool abandon_unread();
    void deliver_queued();
    void deliver_to_session(listener_answer&& value);
    void sweep();
    void schedule_sweep();

    listener_settings options;
    listener_events events;
    event_loop_handle loop;
    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer sweep_timer;
    boost::asio::steady_timer accept_timer;
    bounded_queue<listener_answer> answers;
    std::unordered_map<std::uint64_t, std::shared_ptr<http_session>> sessions_by_request;
    std::vector<std::weak_ptr<http_session>> sessions;
    /// Shared with the sessions, since a shared event loop may keep them alive longer than the listener.
    std::shared_ptr<std::atomic<std::size_t>> open_connections{std::make_shared<std::atomic<std::size_t>>(0)};
    std::atomic<std::uint64_t> unreadable_requests{0};
    std::atomic<std::uint64_t> displaced_connections{0};
    std::atomic<std::size_t> unanswered{0};
    std::atomic<bool> draining{false};
    std::uint64_t next_id{1};
    std::array<char, 16'384> discarded{}; ///< Received from connections that are read no more.
};

} // namespace caraway
