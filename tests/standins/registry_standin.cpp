#include "standins/registry_standin.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QUrl>
#include <QUrlQuery>

#include <chrono>

namespace caraway::standins {

namespace {

constexpr auto poll_interval = std::chrono::milliseconds(5);
constexpr auto slow_delay = std::chrono::milliseconds(200);
/// Small, so that even a few targets need several pages.
constexpr int page_items = 2;

http_response make_json(QJsonObject const& object) {
    return make_response(200, QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString());
}

std::string query_text(QUrlQuery const& query, char const* name) {
    return query.queryItemValue(name, QUrl::FullyDecoded).toStdString();
}

qint64 to_qint64(std::uint64_t number) {
    return static_cast<qint64>(number);
}

} // namespace

registry_standin::registry_standin(std::string const& address, std::uint16_t port)
    : service(address, port, [this](http_request request) { return this->handle(std::move(request)); }) {}

void registry_standin::put(std::string const& key, std::string value) {
    std::lock_guard const guard(this->mutex);
    auto& entry = this->items[key];
    entry.value = std::move(value);
    entry.revision = ++this->revision;
    entry.create_revision = entry.create_revision == 0 ? entry.revision : entry.create_revision;
    this->history.push_back({this->revision, key, entry});
}

void registry_standin::remove(std::string const& key) {
    std::lock_guard const guard(this->mutex);
    this->items.erase(key);
    this->history.push_back({++this->revision, key, std::nullopt});
}

void registry_standin::compact() {
    std::lock_guard const guard(this->mutex);
    this->compacted = this->revision;
    this->history.clear();
}

void registry_standin::take_copy() {
    std::lock_guard const guard(this->mutex);
    this->copied_items = this->items;
    this->copied_revision = this->revision;
}

void registry_standin::restore() {
    std::lock_guard const guard(this->mutex);
    this->items = this->copied_items;
    this->revision = this->copied_revision;
    this->compacted = this->copied_revision;
    this->history.clear();
    this->era_text = std::to_string(++this->era);
}

void registry_standin::set_era(std::string text) {
    std::lock_guard const guard(this->mutex);
    this->era_text = std::move(text);
}

QJsonObject registry_standin::to_json(std::string const& key, item const& entry) {
    return {{"key", QString::fromStdString(key)},
            {"value", QString::fromLatin1(QByteArray::fromStdString(entry.value).toBase64())},
            {"revision", to_qint64(entry.revision)},
            {"create-revision", to_qint64(entry.create_revision)},
            {"lease", 0}};
}

http_response registry_standin::read_key(std::string const& key) {
    std::lock_guard const guard(this->mutex);
    auto const found = this->items.find(key);
    if (found == this->items.end()) {
        return make_response(404, "{}");
    }
    auto object = to_json(key, found->second);
    object.insert("store-revision", to_qint64(this->revision));
    return make_json(object);
}

http_response registry_standin::read_range(std::string const& prefix, std::string const& after) {
    std::lock_guard const guard(this->mutex);
    QJsonArray rows;
    bool truncated = false;
    for (auto entry = this->items.upper_bound(std::max(prefix, after)); entry != this->items.end(); ++entry) {
        if (!entry->first.starts_with(prefix)) {
            break;
        }
        if (rows.size() == page_items) {
            truncated = true;
            break;
        }
        rows.append(to_json(entry->first, entry->second));
    }
    return make_json(
        {{"items", rows}, {"truncated", truncated}, {"store-revision", to_qint64(this->revision)}});
}

std::optional<http_response> registry_standin::changes_after(std::string const& prefix, std::uint64_t after) {
    std::lock_guard const guard(this->mutex);
    if (after < this->compacted || after > this->revision) {
        return make_response(410, "{}");
    }
    QJsonArray rows;
    for (auto const& entry : this->history) {
        if (entry.revision <= after || !entry.key.starts_with(prefix)) {
            continue;
        }
        rows.append(entry.new_item ? to_json(entry.key, *entry.new_item)
                                   : QJsonObject{{"key", QString::fromStdString(entry.key)},
                                                 {"revision", to_qint64(entry.revision)},
                                                 {"tombstone", true}});
    }
    if (rows.isEmpty()) {
        return std::nullopt;
    }
    return make_json({{"events", rows}, {"store-revision", to_qint64(this->revision)}});
}

asio::awaitable<http_response> registry_standin::handle(http_request request) {
    auto response = co_await this->make_answer(std::move(request));
    std::lock_guard const guard(this->mutex);
    if (!this->era_text.empty()) {
        response.set("Store-Era", this->era_text);
    }
    co_return response;
}

asio::awaitable<http_response> registry_standin::make_answer(http_request request) {
    ++this->calls;
    QUrl const url(QString::fromStdString(std::string(request.target())));
    QUrlQuery const query(url);
    asio::steady_timer timer(this->service.context());
    if (this->fault == registry_fault::silent) {
        timer.expires_after(std::chrono::hours(1));
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (this->fault == registry_fault::slow) {
        timer.expires_after(slow_delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (this->fault == registry_fault::down) {
        co_return make_response(503, "{}");
    }
    auto const path = url.path().toStdString();
    if (path == "/v1/kv-key") {
        co_return this->read_key(query_text(query, "key"));
    }
    if (path == "/v1/kv-range") {
        co_return this->read_range(query_text(query, "prefix"), query_text(query, "after"));
    }
    auto const prefix = query_text(query, "prefix");
    auto const after = std::stoull("0" + query_text(query, "after"));
    auto const wait = std::chrono::milliseconds(std::stoll("0" + query_text(query, "wait-ms")));
    auto const until = std::chrono::steady_clock::now() + wait;
    for (;;) {
        if (auto found = this->changes_after(prefix, after)) {
            co_return std::move(*found);
        }
        if (std::chrono::steady_clock::now() >= until || this->fault == registry_fault::down ||
            this->fault == registry_fault::silent) {
            co_return make_json({{"events", QJsonArray{}}, {"store-revision", to_qint64(after)}});
        }
        timer.expires_after(poll_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace caraway::standins
