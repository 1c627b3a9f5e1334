/// All threads of one node, joined: doors, target, links, telemetry, the deciding duty, and this control
/// duty.
///
/// The control duty runs on the thread of the Qt event loop: the platform, the checks of documents, the
/// operators' page and the state chart.
#pragma once

#include "config/settings.hpp"
#include "http/http_listener.hpp"
#include "http/target_client.hpp"
#include "link/link_hub.hpp"
#include "node/core_thread.hpp"
#include "node/lifecycle.hpp"
#include "node/operator_page.hpp"
#include "platform/platform_source.hpp"
#include "telemetry/exporter.hpp"

#include <QNetworkAccessManager>
#include <QObject>
#include <QTimer>

#include <memory>

namespace caraway {

class node_runtime {
public:
    node_runtime(settings wanted, platform_binding spoken);
    ~node_runtime();
    node_runtime(node_runtime const&) = delete;
    node_runtime& operator=(node_runtime const&) = delete;

    /// Opens all addresses and starts all threads.
    result<void> start();

    /// Takes settings that were read again: what can change while the process runs is used, the rest is
    /// logged.
    void reload(settings const& fresh);

    /// Begins to leave; the event loop ends when everything is answered.
    void terminate();

private:
    void carry_out(effects&& wanted);
    void compile_waiting();
    void on_state(std::string const& name);
    void watch_core();
    void post_spans(std::string text);
    listener_events make_door_events(listener_side side);
    std::unique_ptr<http_listener> make_door(endpoint const& address, listener_side side);

    void open_platform();

    settings options;
    platform_binding binding;
    std::uint64_t incarnation;
    QObject control; ///< Lives on the control thread; receives what is queued to it.
    exporter telemetry;
    bounded_queue<document_check_request> compiles;
    core_thread core;
    link_hub links;
    target_client target;
    std::unique_ptr<http_listener> callers;
    std::unique_ptr<http_listener> egress;
    std::unique_ptr<operator_page> page;
    std::unique_ptr<platform_source> platform;
    std::unique_ptr<lifecycle> chart;
    QNetworkAccessManager span_network;
    QTimer watch_timer;
    QTimer trim_timer;
    time_point draining_since;
    time_point idle_since;
};

} // namespace caraway
