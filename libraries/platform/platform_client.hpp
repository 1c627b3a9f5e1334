/// The HTTP client for the platform, built on Boost.Beast; `carawayctl` reads nodes with it, too. It sends
/// only GET requests, since it may resend one. It keeps its connections and runs on an event loop of its own;
/// handlers run on the Qt event loop.
#pragma once

#include "base/clock.hpp"
#include "base/event_loop_thread.hpp"
#include "base/header_field.hpp"

#include <QObject>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace caraway {

struct platform_reply {
    unsigned int status{0}; ///< 0 if no whole answer was received.
    header_list headers;
    std::string body;
    std::string error;        ///< Why no whole answer was received; empty if one was.
    bool is_overdue{false};   ///< Because nothing arrived for too long.
    bool is_too_large{false}; ///< Because of the size of the body.

    bool is_ok() const { return this->status == 200; }
    /// For the operators' log.
    std::string failure() const {
        return this->status == 0 ? this->error : "status " + std::to_string(this->status);
    }
    /// The value of the field; empty if it is missing, or there several times with different values.
    std::string header(std::string_view name) const;
};

struct platform_client_limits {
    /// Several changes of values of one megabyte, each as JSON text with room for escape sequences: a watch
    /// returns all that came since the last one.
    std::size_t max_body{12'000'000};
    /// How much longer than its timeout a call may last while its answer goes on arriving.
    duration max_transfer_time{5000};
};

class platform_call;
class platform_connection;

class platform_client {
public:
    using reply_handler = std::function<void(platform_reply const&)>;

    /// `base_url` precedes every path: `http://HOST:PORT`, and a path if the service has one.
    explicit platform_client(std::string const& base_url, platform_client_limits initial_limits = {});
    ~platform_client();
    platform_client(platform_client const&) = delete;
    platform_client& operator=(platform_client const&) = delete;

    /// The handler gets the reply, whether it succeeded or failed, unless the client is destroyed before. The
    /// request fails when nothing arrives for `timeout`, or when the answer is not complete
    /// `max_transfer_time` after it might have begun.
    void get(std::string const& path, duration timeout, reply_handler handler);

    /// Requests sent so far; a watch that waits at the platform is one request.
    std::uint64_t call_count() const { return this->calls; }

private:
    friend class platform_call;

    /// An idle connection that the platform has not closed, or null.
    std::unique_ptr<platform_connection> acquire_idle();

    std::string host;
    std::string port;
    std::string path_prefix;
    platform_client_limits limits;
    QObject receiver; ///< Handlers run on its thread, and not after its end.
    event_loop_thread loop;
    bool is_running{false};
    std::vector<std::unique_ptr<platform_connection>> idle_connections; ///< Used on the loop only.
    std::uint64_t calls{0};
};

} // namespace caraway
