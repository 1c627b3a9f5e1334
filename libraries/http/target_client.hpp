/// HTTP/1.1 client for the local target, built on Boost.Beast. Sends every request at most once.
///
/// Runs on its own event loop or on a shared one, and reuses connections. It never retries; each answer
/// states whether the request certainly has not run, certainly has run, or may have run.
#pragma once

#include "base/bounded_queue.hpp"
#include "base/clock.hpp"
#include "base/event_loop_thread.hpp"
#include "base/header_field.hpp"
#include "base/memory_budget.hpp"
#include "base/message_body.hpp"
#include "base/result_code.hpp"
#include "http/http_dialect.hpp"
#include "http/target_statement.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace caraway {

struct target_request {
    std::uint64_t id{0};
    std::string method;
    std::string authority; ///< Value of the caller's Host field.
    std::string path;
    header_list headers;
    message_body body;
    /// The target is told the time that is left until then when the request is written; from then on it is
    /// not written.
    time_point deadline;
    duration answer_grace{0}; ///< The connection is closed if no answer arrives so long after the deadline.
    std::string request_id;
    std::string context_token; ///< The target sends it along with its own calls.
    std::string traceparent;
    std::string idempotency_key;
    std::string organisation; ///< Owner of the request's key; empty if there was none.
    std::string calling_service;
    std::string instance; ///< Incarnation of the target that the request is meant for; empty for any.
    bool idempotent{true};
    /// Asks the target for its state in place of a caller's request: only `path` and `instance` are used.
    bool is_health_check{false};
};

struct target_answer {
    std::uint64_t id{0};
    outcome result{outcome::unknown};
    result_code code{result_code::ok};
    std::uint16_t status{0};
    header_list headers;
    message_body body;
    /// Empty when no answer of the wanted instance was read.
    std::optional<target_statement> statement;
    bool refuses_connections{false}; ///< After a lost answer: no process listens at the target's address.
};

struct target_client_settings {
    std::string address;
    std::uint16_t port{0};
    std::size_t max_body{1'048'576};
    std::size_t max_header{16'384};
    std::size_t max_requests{8192}; ///< Capacity of the queue to the client's loop.
    /// How long a request waits for a connection that another request uses before it opens one.
    duration max_connection_wait{0};
    /// What answers take is drawn from it; without one it is not bounded.
    memory_budget* memory{nullptr};
    http_dialect dialect;
};

class target_call;
class target_connection;

class target_client {
public:
    /// `sink` is called on the client's loop with exactly one answer for each request.
    target_client(target_client_settings initial_options, std::function<void(target_answer&&)> sink,
                  event_loop_handle used_loop = {});
    ~target_client();
    target_client(target_client const&) = delete;
    target_client& operator=(target_client const&) = delete;

    void start();

    /// Thread-safe. Returns false, without sending, if the queue is full.
    bool send(target_request&& request);

    /// Thread-safe. Ends a request that has not been written as not run, and aborts one that is idempotent;
    /// the sink still receives an answer. Does nothing to any other request.
    void cancel(std::uint64_t id);

private:
    friend class target_call;

    struct command {
        bool is_cancel{false};
        target_request request;
    };

    /// Requests `run_turn_end` for the current turn of the loop.
    void request_turn_end();
    /// Writes what has to be written, after all cancellations that have arrived.
    void run_turn_end();
    void start_call(target_request&& request, bool is_cancelled);
    void cancel_call(std::uint64_t id);
    boost::asio::ip::tcp::endpoint target_endpoint() const;
    /// Returns an idle connection that the target should still keep open, or null. For a non-idempotent
    /// request the connection must be further from the target's idle limit. None on which the target has
    /// refused a request with the same id.
    std::unique_ptr<target_connection> acquire_idle(bool idempotent, std::string const& request_id);
    void keep_for_reuse(std::unique_ptr<target_connection> connection);
    /// Whether a connection in use is likely to become free within the time that a request may wait for one.
    bool expects_free_connection() const;
    void start_waiting_calls();

    target_client_settings options;
    std::function<void(target_answer&&)> sink;
    event_loop_handle loop;
    boost::asio::io_context& context;
    bounded_queue<command> commands;
    std::unordered_map<std::uint64_t, std::weak_ptr<target_call>> calls;
    std::vector<std::unique_ptr<target_connection>> idle_connections;
    std::deque<std::weak_ptr<target_call>> waiting_calls;      ///< For a connection that another call uses.
    std::vector<std::shared_ptr<target_call>> connected_calls; ///< With a new connection of their own.
    std::vector<std::uint64_t> overflow_cancels;               ///< Cancellations that found the queue full.
    bool turn_end_requested{false};
};

} // namespace caraway
