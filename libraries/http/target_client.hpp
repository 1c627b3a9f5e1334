/// The HTTP/1.1 client of the own target: it sends every request exactly once. By Boost.Beast.
///
/// It runs on a loop of its own or on one that it shares, and keeps connections for reuse. It never sends a
/// request again by itself, and tells apart what was surely not run, what surely ran, and what may have run.
#pragma once

#include "base/bounded_ring.hpp"
#include "base/header_field.hpp"
#include "base/result_code.hpp"
#include "base/service_loop.hpp"
#include "http/http_dialect.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace caraway {

struct target_request {
    std::uint64_t id{0};
    std::string method;
    std::string authority; ///< Host name that the caller asked for.
    std::string path;
    header_list headers;
    std::string body;
    double timeout_ms{0};  ///< The connection is cut when no answer came by then.
    double deadline_ms{0}; ///< Time left, told to the target.
    std::string request_id;
    std::string context_token; ///< What the target shows on its own calls.
    std::string traceparent;
    std::string idempotency_key;
    std::string organisation; ///< Whose key came with the request; empty when none did.
    std::string calling_service;
    std::string instance; ///< The start of the target that is meant; empty: whichever runs.
    bool idempotent{true};
};

struct target_answer {
    std::uint64_t id{0};
    outcome result{outcome::unknown};
    result_code code{result_code::ok};
    std::uint16_t status{0};
    header_list headers;
    std::string body;
    bool refuses_connections{false}; ///< After a lost answer: no process listens at the target any more.
};

struct target_client_settings {
    std::string address;
    std::uint16_t port{0};
    std::size_t max_body{1'048'576};
    std::size_t max_header{16'384};
    std::size_t max_requests{8192}; ///< Bound of the ring towards this thread.
    http_dialect dialect;
};

class target_call;
class target_connection;

class target_client {
public:
    /// `sink` is called on the client's loop with exactly one answer for each request.
    target_client(target_client_settings wanted, std::function<void(target_answer&&)> sink,
                  loop_use used_loop = {});
    ~target_client();
    target_client(target_client const&) = delete;
    target_client& operator=(target_client const&) = delete;

    void start();

    /// Thread-safe. False when the ring is full; then nothing was sent.
    bool send(target_request&& request);

    /// Thread-safe; cuts the connection of a request that is under way. Its answer still comes.
    void cancel(std::uint64_t id);

private:
    friend class target_call;

    struct command {
        bool is_cancel{false};
        target_request request;
    };

    void run_commands();
    boost::asio::ip::tcp::endpoint target_endpoint() const;
    /// A kept connection that the target should still hold open; null when there is none. One for a request
    /// that may run once only is taken long before the target's limit.
    std::unique_ptr<target_connection> acquire_idle(bool idempotent);
    void keep_for_reuse(std::unique_ptr<target_connection> connection);

    target_client_settings options;
    std::function<void(target_answer&&)> sink;
    loop_use loop;
    boost::asio::io_context& context;
    bounded_ring<command> commands;
    std::unordered_map<std::uint64_t, std::weak_ptr<target_call>> calls;
    std::vector<std::unique_ptr<target_connection>> idle_connections;
};

} // namespace caraway
