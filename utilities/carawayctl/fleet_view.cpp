#include "fleet_view.hpp"

#include <QJsonArray>

#include <algorithm>

namespace caraway {

namespace {

std::string text_of(QJsonValue const& value) {
    return value.toString().toStdString();
}

QString to_qstring(std::string const& value) {
    return QString::fromStdString(value);
}

std::optional<double> limit_of(QJsonValue const& value) {
    return value.isDouble() ? std::optional(value.toDouble()) : std::nullopt;
}

} // namespace

void fleet_view::add(QJsonObject const& status) {
    ++this->nodes;
    for (auto const& row : status.value("evacuated_domains").toArray()) {
        auto const object = row.toObject();
        auto& domain = this->evacuated[text_of(object.value("domain"))];
        ++domain.node_count;
        domain.since =
            std::max(domain.since, static_cast<std::uint64_t>(object.value("since_revision").toDouble()));
        domain.in_force_ms = std::max(domain.in_force_ms, object.value("in_force_ms").toDouble());
        domain.is_kept_after_restore =
            domain.is_kept_after_restore || object.value("kept_after_restore").toBool();
    }
    this->add_own_target(status);
    for (auto const& row : status.value("peers").toArray()) {
        this->add_peer(row.toObject());
    }
}

void fleet_view::add_own_target(QJsonObject const& status) {
    auto const own = status.value("target").toObject();
    this->known[text_of(status.value("host"))] = {
        .state = {.failure_domain = text_of(status.value("failure_domain")),
                  .service = text_of(status.value("service")),
                  .cold_ms = own.value("cold_ms").toDouble(),
                  .cold_reason = text_of(own.value("cold_reason")),
                  .rate_limit = limit_of(own.value("rate_limit")),
                  .is_leaving = own.value("states_leaving").toBool()},
        .is_own = true};
}

void fleet_view::add_peer(QJsonObject const& peer) {
    auto& entry = this->known[text_of(peer.value("host"))];
    double const cold_ms = peer.value("target_cold_ms").toDouble();
    if (entry.is_own || (cold_ms <= entry.state.cold_ms && !entry.state.service.empty())) {
        return;
    }
    entry.state = {.failure_domain = text_of(peer.value("failure_domain")),
                   .service = text_of(peer.value("service")),
                   .cold_ms = cold_ms,
                   .rate_limit = limit_of(peer.value("target_rate_limit")),
                   .is_leaving = peer.value("target_leaving").toBool() || peer.value("leaving").toBool()};
}

std::map<std::string, target_in_view> fleet_view::targets() const {
    std::map<std::string, target_in_view> restricted;
    for (auto const& [host, entry] : this->known) {
        if (entry.state.cold_ms > 0 || entry.state.rate_limit || entry.state.is_leaving) {
            restricted.emplace(host, entry.state);
        }
    }
    return restricted;
}

bool fleet_view::is_uniform() const {
    return std::ranges::all_of(this->evacuated,
                               [this](auto const& entry) { return entry.second.node_count == this->nodes; });
}

QJsonObject fleet_view::to_json() const {
    QJsonArray domains;
    for (auto const& [name, domain] : this->evacuated) {
        domains.append(QJsonObject{{"domain", to_qstring(name)},
                                   {"since_revision", static_cast<double>(domain.since)},
                                   {"in_force_at", static_cast<int>(domain.node_count)},
                                   {"in_force_ms", domain.in_force_ms},
                                   {"kept_after_restore", domain.is_kept_after_restore}});
    }
    QJsonArray rows;
    for (auto const& [host, target] : this->targets()) {
        rows.append(
            QJsonObject{{"host", to_qstring(host)},
                        {"failure_domain", to_qstring(target.failure_domain)},
                        {"service", to_qstring(target.service)},
                        {"cold_ms", target.cold_ms},
                        {"cold_reason", to_qstring(target.cold_reason)},
                        {"rate_limit", target.rate_limit ? QJsonValue(*target.rate_limit) : QJsonValue()},
                        {"leaving", target.is_leaving}});
    }
    return {{"nodes", static_cast<int>(this->nodes)}, {"evacuated_domains", domains}, {"targets", rows}};
}

} // namespace caraway
