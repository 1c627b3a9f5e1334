#include "standins/platform_standin.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <chrono>

namespace caraway::standins {

namespace {

constexpr auto poll_interval = std::chrono::milliseconds(10);

std::string compact(QJsonObject const& object) {
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::int64_t query_number(std::string const& target, std::string const& name) {
    auto const position = target.find(name + "=");
    return position == std::string::npos ? 0 : std::atoll(target.c_str() + position + name.size() + 1);
}

std::string last_segment(std::string const& target) {
    auto const path = target.substr(0, target.find('?'));
    return path.substr(path.rfind('/') + 1);
}

} // namespace

platform_standin::platform_standin(std::string const& address, std::uint16_t port)
    : service(address, port, [this](http_request request) { return this->handle(std::move(request)); }) {}

void platform_standin::put(std::string const& name, std::string text) {
    std::lock_guard const guard(this->mutex);
    this->values[name] = {this->next_revision++, std::move(text)};
}

void platform_standin::publish(bundle const& content) {
    for (auto const& [name, text] : content.values) {
        this->put(name, text);
    }
    this->put(std::string(manifest_name), content.manifest_text);
}

void platform_standin::publish_hosts(std::vector<listed_host> const& hosts,
                                     std::vector<evacuated_domain> const& evacuated_domains) {
    QJsonArray rows;
    for (auto const& entry : hosts) {
        rows.append(QJsonObject{{"host", QString::fromStdString(entry.host)},
                                {"failure_domain", QString::fromStdString(entry.failure_domain)},
                                {"service", QString::fromStdString(entry.service)},
                                {"link", QString::fromStdString(entry.link)},
                                {"state", entry.leaving ? "leaving" : "live"}});
    }
    QJsonArray domains;
    for (auto const& domain : evacuated_domains) {
        domains.append(QJsonObject{{"name", QString::fromStdString(domain.name)},
                                   {"since", QString::number(domain.since)}});
    }
    auto const revision = ++this->hosts_revision;
    this->put(
        "hosts",
        compact({{"revision", QString::number(revision)}, {"hosts", rows}, {"evacuated_domains", domains}}));
}

void platform_standin::set_fault(platform_fault wanted) {
    std::lock_guard const guard(this->mutex);
    if (wanted == platform_fault::stale) {
        this->stale_values = this->values;
    }
    this->fault = wanted;
}

platform_standin::stored_value platform_standin::visible_value(std::string const& name) {
    std::lock_guard const guard(this->mutex);
    auto const& source = this->fault == platform_fault::stale ? this->stale_values : this->values;
    auto const found = source.find(name);
    return found == source.end() ? stored_value{} : found->second;
}

asio::awaitable<http_response> platform_standin::watch(std::string name, std::uint64_t after,
                                                       std::int64_t wait_ms) {
    auto const until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
    auto value = this->visible_value(name);
    asio::steady_timer timer(this->service.context());
    while (value.revision <= after && std::chrono::steady_clock::now() < until &&
           this->fault != platform_fault::down) {
        timer.expires_after(poll_interval);
        co_await timer.async_wait(asio::use_awaitable);
        value = this->visible_value(name);
    }
    if (this->fault == platform_fault::down) {
        co_return make_response(503, "down");
    }
    if (this->delay_ms > 0) {
        timer.expires_after(std::chrono::milliseconds(this->delay_ms));
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return make_response(200, compact({{"revision", QString::number(std::max(value.revision, after))},
                                          {"value", QString::fromStdString(value.text)}}));
}

http_response platform_standin::control(http_request const& request) {
    auto const name = last_segment(std::string(request.target()));
    if (name == "calls") {
        return make_response(200, std::to_string(this->calls));
    }
    if (name == "bundle") {
        return attempt_or(
            [&]() -> result<http_response> {
                BOOST_LEAF_AUTO(content, bundle_from_json(request.body()));
                this->publish(content);
                return make_response(200, "published\n");
            },
            [](problem const& cause) { return make_response(400, to_text(cause) + "\n"); });
    }
    if (name == "hosts") {
        return attempt_or(
            [&]() -> result<http_response> {
                BOOST_LEAF_AUTO(list, parse_host_list(request.body()));
                this->publish_hosts(list.hosts, list.evacuated_domains);
                return make_response(200, "published\n");
            },
            [](problem const& cause) { return make_response(400, to_text(cause) + "\n"); });
    }
    return make_response(404, "unknown\n");
}

asio::awaitable<http_response> platform_standin::handle(http_request request) {
    std::string const target(request.target());
    if (target.starts_with("/control/")) {
        co_return this->control(request);
    }
    ++this->calls;
    if (this->fault == platform_fault::down) {
        co_return make_response(503, "down");
    }
    auto const name = last_segment(target);
    if (target.starts_with("/v1/watch/")) {
        co_return co_await this->watch(name, static_cast<std::uint64_t>(query_number(target, "after")),
                                       query_number(target, "wait_ms"));
    }
    auto const value = this->visible_value(name);
    if (value.revision == 0) {
        co_return make_response(404, "unknown");
    }
    co_return make_response(200, compact({{"revision", QString::number(value.revision)},
                                          {"value", QString::fromStdString(value.text)}}));
}

} // namespace caraway::standins
