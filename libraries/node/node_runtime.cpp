#include "node/node_runtime.hpp"

#include "base/digest.hpp"
#include "node/document_check.hpp"

#include <QCoreApplication>
#include <QMetaObject>
#include <QNetworkReply>
#include <QNetworkRequest>

#include <cmath>
#include <malloc.h>

namespace caraway {

namespace {

/// A new connection costs the target more than a request loses by waiting this long for one in use.
constexpr duration connection_wait{4};

constexpr int core_poll_interval_ms = 50;
/// How often the heap memory that is left free after a burst is returned to the system.
constexpr int malloc_trim_interval_ms = 10'000;
/// A leaving node drains for at least this long, so that gossip about it reaches every other node.
constexpr duration min_drain_time{1500};
/// A node is drained after no request was live for this long: by then none is in transit to it either.
constexpr duration min_idle_time{300};
/// Time for the last answers to be sent and for the listeners to close their idle connections, which happens
/// on another thread, before the node stops.
constexpr int close_delay_ms = 200;
constexpr std::size_t max_pending_checks = 64;
/// Room in a link message besides the body, for HTTP header fields and the message's own fields.
constexpr std::size_t message_overhead_bytes = 131'072;
constexpr std::size_t min_message_limit_bytes = 1'500'000;
/// Versions before bodies travelled in parts send up to this much in one message.
constexpr std::size_t max_whole_body_bytes = 8'388'608;
/// What the process takes besides that which it holds for others: at rest, for documents, and for the state
/// of connections.
constexpr std::size_t own_memory_bytes = 56'000'000;
constexpr std::size_t bytes_per_megabyte = 1'000'000;
/// What is held for others takes at least this part of the memory, on hosts that give the process little.
constexpr std::size_t min_budget_fraction = 4;

std::size_t budget_within(std::size_t memory_mb) {
    auto const bytes = memory_mb * bytes_per_megabyte;
    return std::max(bytes / min_budget_fraction, bytes - std::min(bytes, own_memory_bytes));
}

std::size_t message_limit(settings const& options) {
    return std::max(min_message_limit_bytes,
                    std::min(options.max_body, max_whole_body_bytes) + message_overhead_bytes);
}

settings with_drain_time(settings options, platform_traits const& traits) {
    options.drain_ms = drain_time_within(traits.stop_grace, options.drain_ms);
    return options;
}

} // namespace

node_runtime::node_runtime(settings initial_settings, platform_binding platform_interface)
    : options(with_drain_time(std::move(initial_settings), platform_interface.traits)),
      binding(std::move(platform_interface)), incarnation(random_number()),
      memory(budget_within(this->options.memory_mb)),
      telemetry({.service = "carawayd",
                 .host = options.host,
                 .file_descriptor = options.span_file_descriptor,
                 .post = options.span_url.empty()
                             ? std::function<void(std::string)>{}
                             : [this](std::string text) { this->post_spans(std::move(text)); }}),
      pending_checks(max_pending_checks),
      core(options, binding.traits, incarnation,
           [this](effects&& all) { this->execute_effects(std::move(all)); }),
      links({options.host, incarnation}, options.fleet_secret, message_limit(options),
            [this](link_event&& event) { return this->core.push(std::move(event)); },
            event_loop_handle(core.loop()), {.max_body = options.max_body, .memory = &memory}),
      target(
          {.address = options.target.address,
           .port = options.target.port,
           .max_body = options.max_body,
           .max_header = options.max_header,
           .max_requests = options.max_requests,
           .max_connection_wait = options.placement == placement_rule::wait ? connection_wait : duration{0},
           .memory = &memory,
           .dialect = binding.dialect},
          [this](target_answer&& answer) { this->core.push(std::move(answer)); },
          event_loop_handle(core.loop())) {
    this->pending_checks.set_wake_callback([this] {
        QMetaObject::invokeMethod(
            &this->control, [this] { this->check_pending_documents(); }, Qt::QueuedConnection);
    });
}

node_runtime::~node_runtime() {
    this->platform.reset();
    this->core.stop();
    this->caller_listener.reset();
    this->egress_listener.reset();
}

listener_events node_runtime::make_listener_events(listener_side side) {
    return {.request = [this](listener_request&& request) { return this->core.push(std::move(request)); },
            .disconnected =
                [this, side](std::uint64_t id) {
                    this->core.push(disconnect_event{side, id});
                }};
}

std::unique_ptr<http_listener> node_runtime::make_listener(endpoint const& address, listener_side side) {
    return std::make_unique<http_listener>(
        listener_settings{.address = address.address,
                          .port = address.port,
                          .side = side,
                          .max_body = this->options.max_body,
                          .max_header = this->options.max_header,
                          .max_connections = this->options.max_connections,
                          .idle_timeout_ms = this->options.idle_timeout_ms,
                          .header_timeout_ms = this->options.header_timeout_ms,
                          .memory = &this->memory,
                          .max_pipeline = this->options.max_pipeline,
                          .dialect = this->binding.dialect},
        this->make_listener_events(side), event_loop_handle(this->core.loop()));
}

result<void> node_runtime::start() {
    BOOST_LEAF_ASSIGN(this->state_machine,
                      lifecycle::create([this](std::string const& name) { this->on_state_entered(name); }));
    this->caller_listener = this->make_listener(this->options.callers, listener_side::callers);
    if (this->options.egress) {
        this->egress_listener = this->make_listener(*this->options.egress, listener_side::egress);
    }
    this->operator_interface = std::make_unique<operator_server>(
        [this] { return this->core.status(); }, [this] { return this->core.status_with_texts(); },
        this->core.loop());
    BOOST_LEAF_CHECK(this->operator_interface->open(this->options.operators));
    if (this->options.readiness) {
        BOOST_LEAF_CHECK(this->operator_interface->open_readiness(*this->options.readiness));
    }
    BOOST_LEAF_CHECK(this->links.listen(this->options.link.text()));
    this->target.start();
    this->core.start();
    BOOST_LEAF_CHECK(this->caller_listener->open());
    if (this->egress_listener != nullptr) {
        BOOST_LEAF_CHECK(this->egress_listener->open());
    }
    this->open_platform();
    QObject::connect(&this->malloc_trim_timer, &QTimer::timeout, &this->control, [] { ::malloc_trim(0); });
    this->malloc_trim_timer.start(malloc_trim_interval_ms);
    QObject::connect(&this->core_poll_timer, &QTimer::timeout, &this->control, [this] { this->poll_core(); });
    this->core_poll_timer.start(core_poll_interval_ms);
    this->state_machine->start();
    this->telemetry.enqueue_log(log_entry{log_level::info,
                                          "started",
                                          {{"host", this->options.host},
                                           {"failure_domain", this->options.failure_domain},
                                           {"service", this->options.service}}});
    return {};
}

void node_runtime::open_platform() {
    this->platform = this->binding.create_source(
        this->options,
        platform_callbacks{
            .on_configuration =
                [this](bundle&& content) {
                    this->core.push(
                        platform_document_event{document_kind::configuration, std::move(content)});
                },
            .on_hosts =
                [this](std::string&& text) {
                    attempt_or(
                        [&]() -> result<bool> {
                            BOOST_LEAF_AUTO(list, parse_host_list(text));
                            return this->core.push(
                                platform_document_event{document_kind::hosts, make_host_list_bundle(list)});
                        },
                        [&](problem const& cause) {
                            this->telemetry.enqueue_log(log_entry{
                                log_level::error, "host_list_refused", {{"reason", to_text(cause)}}});
                            return false;
                        });
                },
            .on_failure =
                [this](std::string const& reason) {
                    this->telemetry.enqueue_log(
                        log_entry{log_level::warn, "platform_unreachable", {{"reason", reason}}});
                },
            .on_service_changed =
                [this](bool is_served) { this->core.push(platform_service_event{is_served}); },
            .on_notice =
                [this](std::string const& event, header_list const& fields) {
                    this->telemetry.enqueue_log(log_entry{log_level::info, event, fields});
                }});
    this->platform->set_active(true);
}

void node_runtime::reload(settings const& fresh) {
    bool const needs_restart = fresh.callers.text() != this->options.callers.text() ||
                               fresh.link.text() != this->options.link.text() ||
                               fresh.target.text() != this->options.target.text() ||
                               fresh.service != this->options.service;
    set_log_level(fresh.log_level);
    this->options.log_level = fresh.log_level;
    this->telemetry.enqueue_log(
        log_entry{needs_restart ? log_level::warn : log_level::info,
                  "settings_reloaded",
                  {{"log_level", fresh.log_level}, {"needs_restart", needs_restart ? "true" : "false"}}});
}

void node_runtime::execute_effects(effects&& pending_effects) {
    for (auto const& dial : pending_effects.dials) {
        this->links.dial(dial.connection, dial.address);
    }
    for (auto const& outgoing : pending_effects.messages) {
        if (!this->links.send(outgoing.connection, outgoing.content)) {
            // An unsent message must not count as sent. Closing the connection notifies all requests that use
            // it.
            this->links.close(outgoing.connection);
        }
    }
    for (auto const connection : pending_effects.closes) {
        this->links.close(connection);
    }
    for (auto& answer : pending_effects.caller_answers) {
        this->caller_listener->enqueue_answer(std::move(answer));
    }
    for (auto& answer : pending_effects.egress_answers) {
        this->egress_listener->enqueue_answer(std::move(answer));
    }
    for (auto& request : pending_effects.target_requests) {
        auto const id = request.id;
        if (!this->target.send(std::move(request))) {
            this->core.push(
                target_answer{.id = id, .result = outcome::not_run, .code = result_code::node_busy});
        }
    }
    for (auto const id : pending_effects.target_cancels) {
        this->target.cancel(id);
    }
    for (auto& request : pending_effects.document_checks) {
        this->enqueue_check(std::move(request));
    }
    for (auto& value : pending_effects.spans) {
        this->telemetry.enqueue_span(std::move(value));
    }
    for (auto& entry : pending_effects.logs) {
        this->telemetry.enqueue_log(std::move(entry));
    }
    this->links.close_overdue_handshakes();
}

void node_runtime::enqueue_check(document_check_request&& request) {
    if (this->pending_checks.try_push(std::move(request))) {
        return;
    }
    // A failed push leaves the request unchanged (bounded_queue), which the linter can't know.
    // NOLINTBEGIN(bugprone-use-after-move)
    QMetaObject::invokeMethod(
        &this->control, [this, deferred = std::move(request)] { this->core.push(check_document(deferred)); },
        Qt::QueuedConnection);
    // NOLINTEND(bugprone-use-after-move)
}

void node_runtime::check_pending_documents() {
    this->pending_checks.drain(
        [this](document_check_request&& request) { this->core.push(check_document(request)); });
}

void node_runtime::post_spans(std::string text) {
    QMetaObject::invokeMethod(
        &this->control,
        [this, text = std::move(text)] {
            QNetworkRequest request(QUrl(QString::fromStdString(this->options.span_url)));
            request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
            auto* reply = this->span_network.post(request, QByteArray::fromStdString(text));
            QObject::connect(reply, &QNetworkReply::finished, reply, &QObject::deleteLater);
        },
        Qt::QueuedConnection);
}

void node_runtime::terminate() {
    this->state_machine->submit_event("terminate");
}

void node_runtime::on_state_entered(std::string const& name) {
    this->telemetry.enqueue_log(log_entry{log_level::info, "phase", {{"name", name}}});
    if (name == "serving") {
        this->core.push(phase_event{node_phase::serving});
    } else if (name == "draining") {
        this->draining_since = monotonic_clock::now();
        this->idle_since = this->draining_since;
        this->core.push(phase_event{node_phase::draining});
        this->caller_listener->drain();
    } else if (name == "closing") {
        this->core.push(phase_event{node_phase::closing});
        this->caller_listener->close_idle();
        if (this->egress_listener != nullptr) {
            this->egress_listener->close_idle();
        }
        QTimer::singleShot(close_delay_ms, &this->control,
                           [this] { this->state_machine->submit_event("closed"); });
    } else if (name == "stopped") {
        this->core.push(phase_event{node_phase::stopped});
        QCoreApplication::quit();
    }
}

void node_runtime::poll_core() {
    auto const status = this->core.status();
    auto const now = monotonic_clock::now();
    if (status->phase == node_phase::starting && status->documents_ready) {
        this->state_machine->submit_event("configuration.ready");
    }
    this->platform->set_active(status->reads_platform || !status->documents_ready);
    if (this->draining_since.milliseconds == 0) {
        return;
    }
    // A call ends when a listener has its answer; its caller may take longer to read it.
    if (!this->core.is_idle() || this->unanswered_count() > 0) {
        this->idle_since = now;
    }
    bool const drained =
        now - this->draining_since >= min_drain_time && now - this->idle_since >= min_idle_time;
    if (drained) {
        this->end_drain("drained", *status, now);
    } else if (now - this->draining_since >= duration{this->options.drain_ms}) {
        this->end_drain("drain.timeout", *status, now);
    }
}

std::size_t node_runtime::unanswered_count() const {
    return this->caller_listener->unanswered_count() +
           (this->egress_listener == nullptr ? 0 : this->egress_listener->unanswered_count());
}

void node_runtime::end_drain(std::string const& event, node_status const& status, time_point now) {
    this->telemetry.enqueue_log(
        log_entry{log_level::info,
                  "drain_ended",
                  {{"reason", event},
                   {"after_ms", std::to_string(std::llround((now - this->draining_since).milliseconds))},
                   {"calls", std::to_string(status.call_count)},
                   {"executions", std::to_string(status.execution_count)},
                   {"unanswered", std::to_string(this->unanswered_count())}}});
    this->draining_since = {};
    this->state_machine->submit_event(event);
}

} // namespace caraway
