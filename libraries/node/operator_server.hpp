/// The HTTP server for operators: health, readiness, metrics and status. It uses Qt's HTTP server.
///
/// Every handler answers immediately from a published snapshot, so the known weaknesses of Qt's server with
/// delayed answers don't matter (docs/design/http.md).
#pragma once

#include "base/problem.hpp"
#include "config/settings.hpp"
#include "node/node_core.hpp"

#include <functional>
#include <memory>

class QHttpServer;

namespace caraway {

class operator_server {
public:
    using status_source = std::function<std::shared_ptr<node_status const>()>;

    /// `detailed_status` returns the status with recent metrics and status texts.
    operator_server(status_source source, status_source detailed_status);
    ~operator_server();
    operator_server(operator_server const&) = delete;
    operator_server& operator=(operator_server const&) = delete;

    result<void> open(endpoint const& address);
    /// Opens a second address that answers every request with 200 while the node accepts new work, else with
    /// 503.
    result<void> open_readiness(endpoint const& address);

private:
    status_source status;
    status_source detailed_status;
    std::unique_ptr<QHttpServer> server;
    std::unique_ptr<QHttpServer> readiness;
};

} // namespace caraway
