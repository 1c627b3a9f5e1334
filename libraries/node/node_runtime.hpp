/// Owns and connects the parts of one node: listeners, target client, links, telemetry, the core that makes
/// the decisions, and the control tasks.
///
/// The control tasks run on the thread of the Qt event loop: reading the platform, checking documents, the
/// operators' HTTP server and the lifecycle state machine.
#pragma once

#include "base/memory_budget.hpp"
#include "config/settings.hpp"
#include "http/http_listener.hpp"
#include "http/target_client.hpp"
#include "link/link_hub.hpp"
#include "node/core_thread.hpp"
#include "node/lifecycle.hpp"
#include "node/operator_server.hpp"
#include "platform/platform_source.hpp"
#include "telemetry/exporter.hpp"

#include <QNetworkAccessManager>
#include <QObject>
#include <QTimer>

#include <memory>

namespace caraway {

class node_runtime {
public:
    node_runtime(settings initial_settings, platform_binding platform_interface);
    ~node_runtime();
    node_runtime(node_runtime const&) = delete;
    node_runtime& operator=(node_runtime const&) = delete;

    /// Opens all listening addresses and starts all threads.
    result<void> start();

    /// Applies settings that were read again. Only the log level can change while the process runs. Logs
    /// whether a restart is needed; for this only the caller, link and target addresses and the service are
    /// compared.
    void reload(settings const& fresh);

    /// Starts draining; the event loop ends when all requests are answered or the drain times out.
    void terminate();

private:
    void execute_effects(effects&& pending_effects);
    /// Thread-safe; the document is checked in any case.
    void enqueue_check(document_check_request&& request);
    void check_pending_documents();
    void on_state_entered(std::string const& name);
    void poll_core();
    /// Leaves the state "draining" with this event of the state chart.
    /// Requests whose answers a listener has not written to the end.
    std::size_t unanswered_count() const;
    void end_drain(std::string const& event, node_status const& status, time_point now);
    void post_spans(std::string text);
    listener_events make_listener_events(listener_side side);
    std::unique_ptr<http_listener> make_listener(endpoint const& address, listener_side side);

    void open_platform();

    settings options;
    platform_binding binding;
    std::uint64_t incarnation;
    memory_budget memory; ///< Outlives all that draws from it.
    QObject control; ///< Belongs to the control thread; receives the calls that other threads queue to it.
    exporter telemetry;
    bounded_queue<document_check_request> pending_checks;
    core_thread core;
    link_hub links;
    target_client target;
    std::unique_ptr<http_listener> caller_listener;
    std::unique_ptr<http_listener> egress_listener;
    std::unique_ptr<operator_server> operator_interface;
    std::unique_ptr<platform_source> platform;
    std::unique_ptr<lifecycle> state_machine;
    QNetworkAccessManager span_network;
    QTimer core_poll_timer;
    QTimer malloc_trim_timer;
    time_point draining_since;
    time_point idle_since;
};

} // namespace caraway
