/// The HTTP server for operators: health, readiness, metrics and status.
///
/// It answers from a published snapshot, on the event loop that it shares with the callers' listener, whose
/// limits on unread and endless requests hold for it as well.
#pragma once

#include "base/event_loop_thread.hpp"
#include "base/problem.hpp"
#include "config/settings.hpp"
#include "http/http_listener.hpp"
#include "node/node_core.hpp"

#include <functional>
#include <memory>
#include <string_view>

namespace caraway {

class operator_server {
public:
    using status_source = std::function<std::shared_ptr<node_status const>()>;

    /// `detailed_status` returns the status with recent metrics and status texts. `shared_loop` must have
    /// stopped before this is destroyed.
    operator_server(status_source source, status_source detailed_status, event_loop_thread& shared_loop);

    result<void> open(endpoint const& address);
    /// Opens a second address that answers every request with 200 while the node accepts new work, else with
    /// 503.
    result<void> open_readiness(endpoint const& address);

private:
    /// Gets the path of the request.
    using responder = std::function<listener_answer(std::string_view path)>;

    result<void> listen(std::unique_ptr<http_listener>& listener, endpoint const& address, responder respond);
    listener_answer answer_operator(std::string_view path) const;
    listener_answer answer_readiness() const;

    status_source status;
    status_source detailed_status;
    event_loop_thread& loop;
    std::unique_ptr<http_listener> operators;
    std::unique_ptr<http_listener> readiness;
};

} // namespace caraway
