#include "platform/document_source.hpp"

#include <QJsonDocument>
#include <QJsonObject>

#include <cmath>

namespace caraway {

namespace {

/// Longest wait of a watch at the platform. A connection may fall silent at any moment, and a document that
/// is published then has to be in force 4 s later: the overdue answer and a new call come before the spread.
constexpr duration watch_wait{1500};
/// A watch fails so long after its answer was due.
constexpr duration overdue_timeout{500};
/// A call that does not wait fails after so long without progress.
constexpr duration answer_timeout{1000};
constexpr int retry_pause_ms = 200;

} // namespace

document_source::document_source(std::string base_url, platform_callbacks handlers)
    : callbacks(std::move(handlers)), service(this->callbacks.on_service_changed),
      client(std::move(base_url)) {
    this->retry_timer.setSingleShot(true);
    QObject::connect(&this->retry_timer, &QTimer::timeout, &this->retry_timer, [this] {
        this->start_watch(this->manifest_watch);
        this->start_watch(this->hosts_watch);
    });
}

void document_source::set_active(bool active) {
    bool const becomes_active = active && !this->is_active;
    this->is_active = active;
    if (becomes_active) {
        this->service.reset();
        this->start_watch(this->manifest_watch);
        this->start_watch(this->hosts_watch);
    }
}

void document_source::report_failure(std::string const& reason) {
    this->callbacks.on_failure(reason);
    if (!this->retry_timer.isActive()) {
        this->retry_timer.start(retry_pause_ms);
    }
}

void document_source::start_watch(watch& current) {
    if (current.request_pending || !this->is_active) {
        return;
    }
    current.request_pending = true;
    current.sent_at = monotonic_clock::now();
    // After a failure nothing waits at the platform, so that a missing answer shows soon.
    auto const wait = current.has_failed ? duration{0} : watch_wait;
    auto const timeout = current.has_failed ? answer_timeout : watch_wait + overdue_timeout;
    this->client.get("/v1/watch/" + current.name + "?after=" + current.known_revision +
                         "&wait_ms=" + std::to_string(std::llround(wait.milliseconds)),
                     timeout,
                     [this, &current](platform_reply const& reply) { this->on_watched(current, reply); });
}

void document_source::on_watched(watch& current, platform_reply const& reply) {
    current.request_pending = false;
    current.has_failed = !reply.is_ok();
    if (current.has_failed) {
        auto const now = monotonic_clock::now();
        this->service.record_failure(reply.is_overdue ? current.sent_at : now, now);
        return this->report_failure(reply.failure());
    }
    this->service.record_answer();
    auto const object = QJsonDocument::fromJson(QByteArray::fromStdString(reply.body)).object();
    auto const revision = object.value("revision").toString().toStdString();
    if (revision.empty()) {
        return this->report_failure("The platform's answer has no revision.");
    }
    bool const changed = revision != current.known_revision;
    current.known_revision = revision;
    if (changed) {
        auto text = object.value("value").toString().toStdString();
        if (&current == &this->hosts_watch) {
            this->callbacks.on_hosts(std::move(text));
        } else {
            this->on_manifest(std::move(text));
        }
    }
    this->start_watch(current);
}

void document_source::on_manifest(std::string&& text) {
    attempt_or(
        [&]() -> result<bool> {
            BOOST_LEAF_AUTO(parsed, parse_manifest(text));
            this->incoming_bundle = bundle{.manifest_text = text};
            this->missing_values.clear();
            for (auto const& [name, digest] : parsed.digests) {
                auto const found = this->current_bundle.values.find(name);
                if (found != this->current_bundle.values.end() && value_digest(found->second) == digest) {
                    this->incoming_bundle->values[name] = found->second;
                } else {
                    this->missing_values.push_back(name);
                }
            }
            return true;
        },
        [&](problem const& cause) {
            this->callbacks.on_failure(to_text(cause));
            return false;
        });
    this->fetch_missing_value();
}

void document_source::fetch_missing_value() {
    if (!this->incoming_bundle) {
        return;
    }
    if (this->missing_values.empty()) {
        this->current_bundle = *this->incoming_bundle;
        this->incoming_bundle.reset();
        return this->callbacks.on_configuration(bundle(this->current_bundle));
    }
    auto const name = this->missing_values.back();
    this->client.get("/v1/values/" + name, answer_timeout, [this, name](platform_reply const& reply) {
        bool const expected =
            this->incoming_bundle && !this->missing_values.empty() && this->missing_values.back() == name;
        if (!expected) {
            return;
        }
        if (!reply.is_ok()) {
            // Start again with the manifest, which may have changed meanwhile.
            this->incoming_bundle.reset();
            this->manifest_watch.known_revision = "0";
            return this->report_failure(reply.failure());
        }
        auto const object = QJsonDocument::fromJson(QByteArray::fromStdString(reply.body)).object();
        this->incoming_bundle->values[name] = object.value("value").toString().toStdString();
        this->missing_values.pop_back();
        this->fetch_missing_value();
    });
}

platform_binding make_document_binding() {
    return {.create_source = [](settings const& options,
                                platform_callbacks handlers) -> std::unique_ptr<platform_source> {
        return std::make_unique<document_source>(options.platform_url, std::move(handlers));
    }};
}

} // namespace caraway
