/// The HTTP/1.1 server that callers, and the own target for its calls, connect to. By Boost.Beast.
///
/// It runs on a loop of its own or on one that it shares. Pipelined requests of a connection, up to a bound,
/// are worked on together and answered in order. A caller's key leaves this class only as its hash.
#pragma once

#include "base/bounded_ring.hpp"
#include "base/clock.hpp"
#include "base/header_field.hpp"
#include "base/problem.hpp"
#include "base/result_code.hpp"
#include "base/service_loop.hpp"
#include "http/http_dialect.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace caraway {

/// Which side a request came in on.
enum class listener_side : std::uint8_t { callers, egress };

/// A whole request as it was read.
struct listener_request {
    std::uint64_t id{0}; ///< Names the request towards `answer`.
    listener_side side{listener_side::callers};
    std::string method;
    std::string authority; ///< Host name that was asked for.
    std::string path;      ///< With its query.
    header_list headers;
    std::string body;
    std::string key_sha256;      ///< Empty when no key came.
    std::string context_token;   ///< Of the request being served; empty when none came.
    std::string idempotency_key; ///< Ticket on the callers' side, the target's own key on the egress side.
    std::string request_id;
    std::string traceparent;
    double timeout_ms{0}; ///< What the caller allows; 0 when it says nothing.
};

/// What the system itself says with an answer.
struct answer_metadata {
    outcome result{outcome::unknown};
    result_code code{result_code::ok};
    std::string request_id;
    std::string ticket;       ///< For the next try; empty when there is none.
    double retry_after_ms{0}; ///< 0 when nothing is said.
};

struct listener_answer {
    std::uint64_t id{0};
    std::uint16_t status{500};
    header_list headers;
    std::string body;
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
    /// Requests of one connection that are worked on together; more stay unread.
    std::size_t max_pipeline{1};
    http_dialect dialect;
};

/// What the door reports; called on the door's thread and must not block.
struct listener_events {
    /// False when the request can't be taken; the door then answers node_busy.
    std::function<bool(listener_request&&)> request;
    /// The caller of a request that is not answered yet has gone.
    std::function<void(std::uint64_t id)> disconnected;
};

class http_session;

class http_listener {
public:
    http_listener(listener_settings wanted, listener_events handlers, loop_use used_loop = {});
    ~http_listener();
    http_listener(http_listener const&) = delete;
    http_listener& operator=(http_listener const&) = delete;

    result<void> open();

    /// Thread-safe; an answer to a request whose caller has gone is dropped.
    void answer(listener_answer&& value);

    /// Each open connection ends with the answer to what was read on it; new ones are still served.
    void drain();
    /// Takes no new connection, and closes those that wait for no answer; the last step after `drain`.
    void close_idle();

    std::size_t connection_count() const { return *this->open_connections; }
    std::uint64_t rejected_count() const { return this->rejected; }

private:
    friend class http_session;

    void accept();
    void deliver_answers();
    void deliver(listener_answer&& value);
    void sweep();
    void schedule_sweep();

    listener_settings options;
    listener_events events;
    loop_use loop;
    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer sweep_timer;
    bounded_ring<listener_answer> answers;
    std::unordered_map<std::uint64_t, std::shared_ptr<http_session>> sessions_by_request; ///< By request.
    std::vector<std::weak_ptr<http_session>> sessions;
    /// Shared with the sessions, which a shared loop may keep for longer than the door lives.
    std::shared_ptr<std::atomic<std::size_t>> open_connections{std::make_shared<std::atomic<std::size_t>>(0)};
    std::atomic<std::uint64_t> rejected{0};
    std::atomic<bool> draining{false};
    std::uint64_t next_id{1};
};

} // namespace caraway
