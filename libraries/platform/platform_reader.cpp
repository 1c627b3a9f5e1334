#include "platform/platform_reader.hpp"

#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkReply>

namespace caraway {

namespace {

constexpr int watch_wait_ms = 10'000;
constexpr int transfer_timeout_ms = 15'000;
constexpr int retry_pause_ms = 500;

} // namespace

platform_reader::platform_reader(std::string base_url, platform_events handlers)
    : events(std::move(handlers)), client(std::move(base_url), transfer_timeout_ms) {
    this->retry.setSingleShot(true);
    QObject::connect(&this->retry, &QTimer::timeout, &this->retry, [this] {
        this->start(this->manifest_watch);
        this->start(this->hosts_watch);
    });
}

void platform_reader::set_active(bool active) {
    bool const begins = active && !this->is_active;
    this->is_active = active;
    if (begins) {
        this->start(this->manifest_watch);
        this->start(this->hosts_watch);
    }
}

void platform_reader::fail(std::string const& reason) {
    this->events.failure(reason);
    if (!this->retry.isActive()) {
        this->retry.start(retry_pause_ms);
    }
}

void platform_reader::start(watch& wanted) {
    if (wanted.running || !this->is_active) {
        return;
    }
    wanted.running = true;
    this->client.get("/v1/watch/" + wanted.name + "?after=" + wanted.after +
                         "&wait_ms=" + std::to_string(watch_wait_ms),
                     [this, &wanted](QNetworkReply& reply) { this->on_watched(wanted, reply); });
}

void platform_reader::on_watched(watch& wanted, QNetworkReply& reply) {
    wanted.running = false;
    if (reply.error() != QNetworkReply::NoError) {
        return this->fail(reply.errorString().toStdString());
    }
    auto const object = QJsonDocument::fromJson(reply.readAll()).object();
    auto const revision = object.value("revision").toString().toStdString();
    if (revision.empty()) {
        return this->fail("The platform's answer has no revision.");
    }
    bool const changed = revision != wanted.after;
    wanted.after = revision;
    if (changed) {
        auto text = object.value("value").toString().toStdString();
        if (&wanted == &this->hosts_watch) {
            this->events.hosts(std::move(text));
        } else {
            this->on_manifest(std::move(text));
        }
    }
    this->start(wanted);
}

void platform_reader::on_manifest(std::string&& text) {
    attempt_or(
        [&]() -> result<bool> {
            BOOST_LEAF_AUTO(parsed, parse_manifest(text));
            this->gathering = bundle{.manifest_text = text};
            this->missing.clear();
            for (auto const& [name, digest] : parsed.digests) {
                auto const found = this->held.values.find(name);
                if (found != this->held.values.end() && value_digest(found->second) == digest) {
                    this->gathering->values[name] = found->second;
                } else {
                    this->missing.push_back(name);
                }
            }
            return true;
        },
        [&](problem const& cause) {
            this->events.failure(to_text(cause));
            return false;
        });
    this->fetch_next();
}

void platform_reader::fetch_next() {
    if (!this->gathering) {
        return;
    }
    if (this->missing.empty()) {
        this->held = *this->gathering;
        this->gathering.reset();
        return this->events.configuration(bundle(this->held));
    }
    auto const name = this->missing.back();
    this->client.get("/v1/values/" + name, [this, name](QNetworkReply& reply) {
        bool const expected = this->gathering && !this->missing.empty() && this->missing.back() == name;
        if (!expected) {
            return;
        }
        if (reply.error() != QNetworkReply::NoError) {
            // Asked for again from the start: the manifest may have changed meanwhile.
            this->gathering.reset();
            this->manifest_watch.after = "0";
            return this->fail(reply.errorString().toStdString());
        }
        auto const object = QJsonDocument::fromJson(reply.readAll()).object();
        this->gathering->values[name] = object.value("value").toString().toStdString();
        this->missing.pop_back();
        this->fetch_next();
    });
}

platform_binding document_binding() {
    return {
        .open = [](settings const& options, platform_events handlers) -> std::unique_ptr<platform_source> {
            return std::make_unique<platform_reader>(options.platform_url, std::move(handlers));
        }};
}

} // namespace caraway
