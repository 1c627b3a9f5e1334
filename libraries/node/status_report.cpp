#include "node/status_report.hpp"

#include "platform/document_revision.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <array>

namespace caraway {

namespace {

QString to_qstring(std::string_view value) {
    return QString::fromUtf8(value.data(), static_cast<qsizetype>(value.size()));
}

double number(std::uint64_t value) {
    return static_cast<double>(value);
}

QJsonArray peers_to_json(node_context const& context, time_point now) {
    QJsonArray rows;
    for (auto const& name : context.peers.listed_hosts()) {
        auto const* peer = context.peers.find(name);
        if (peer == nullptr || name == context.options.host) {
            continue;
        }
        auto const rate_limit = context.targets.rate_limit(peer->target);
        rows.append(QJsonObject{{"host", to_qstring(name)},
                                {"target_rate_limit", rate_limit ? QJsonValue(*rate_limit) : QJsonValue()},
                                {"target_cold_ms", context.targets.cold_for(peer->target, now).milliseconds},
                                {"failure_domain", to_qstring(peer->entry.failure_domain)},
                                {"service", to_qstring(peer->entry.service)},
                                {"link", context.peers.is_connected(name) ? "open" : "closed"},
                                {"leaving", peer->entry.leaving || peer->reports_leaving},
                                {"target_leaving", context.targets.is_leaving(peer->target)},
                                {"ejected", context.chooser.is_ejected(name, now)},
                                {"in_flight", number(peer->report.in_flight)},
                                {"limit", number(peer->report.limit)},
                                {"expected_wait_ms", number(peer->report.expected_wait_ms)},
                                {"request_ms", number(peer->report.target_request_ms)},
                                {"work_time_percent", number(peer->report.target_work_time_percent)},
                                {"failure_permille", number(peer->report.target_failure_permille)}});
    }
    return rows;
}

QJsonArray answers_to_json(metrics const& numbers) {
    QJsonArray rows;
    for (auto const& [key, count] : numbers.answers()) {
        rows.append(QJsonObject{{"outcome", to_qstring(name_of(key.first))},
                                {"code", static_cast<int>(key.second)},
                                {"name", to_qstring(describe(key.second).name)},
                                {"count", number(count)}});
    }
    return rows;
}

QJsonArray quarantine_to_json(quarantine const& suspects, time_point now) {
    QJsonArray rows;
    for (auto const& entry : suspects.suspects(now)) {
        rows.append(QJsonObject{{"fingerprint", QString::number(entry.fingerprint, 16)},
                                {"deaths", static_cast<int>(entry.crashes)},
                                {"refused", entry.crashes >= quarantine::crashes_to_refuse},
                                {"age_ms", (now - entry.last_crash).milliseconds}});
    }
    return rows;
}

QJsonArray evacuations_to_json(node_context const& context, time_point now) {
    QJsonArray rows;
    for (auto const& [name, entry] : context.evacuations.in_force()) {
        rows.append(QJsonObject{{"domain", to_qstring(name)},
                                {"since_revision", number(entry.since)},
                                {"in_force_ms", (now - entry.in_force_since).milliseconds},
                                {"kept_after_restore", context.evacuations.is_kept_after_restore(name)}});
    }
    return rows;
}

} // namespace

std::string_view name_of(node_phase phase) {
    static constexpr std::array<std::string_view, 5> names{"starting", "serving", "draining", "closing",
                                                           "stopped"};
    return names.at(static_cast<std::size_t>(phase));
}

std::string status_to_json(status_sources const& sources, time_point now) {
    auto const& context = sources.context;
    auto const& members = context.rate_leases.members();
    QJsonObject const rights{{"may_act", members.may_own_pools(now)},
                             {"settled", members.has_passed_takeover_delay(now)},
                             {"counted", static_cast<int>(members.members().size())},
                             {"pools_owned", number(context.rate_leases.pool_count())},
                             {"lent_requests", to_requests(context.rate_leases.outstanding())}};
    auto const& own = sources.local.target();
    auto const reason = own.binding_reason(now);
    auto const stated_limit = sources.local.target().rate_limit();
    QJsonObject const target{
        {"rate_limit", stated_limit ? QJsonValue(*stated_limit) : QJsonValue()},
        {"limited_for_ms",
         stated_limit ? QJsonValue(sources.local.target().limited_for(now).milliseconds) : QJsonValue()},
        {"limit_refusals", number(context.node_metrics.counter("target_limit_refusals"))},
        {"cold_ms", own.cold_for(now).milliseconds},
        {"cold_reason", to_qstring(own.cold_for(now) > duration{0} ? own.cold_reason() : "")},
        {"pace", reason == pace_reason::none ? QJsonValue() : QJsonValue(own.pace(now))},
        {"window", own.learned().is_learning() ? QJsonValue(own.learned().window()) : QJsonValue()},
        {"pace_reason", to_qstring(name_of(reason))},
        {"states_leaving", sources.local.target().is_leaving()},
        {"in_flight", number(sources.local.in_flight())},
        {"queued", number(sources.local.queue_length())},
        {"limit", sources.local.concurrency_limit()},
        {"limiting", sources.local.admission().is_limiting()},
        {"capacity_per_second", sources.local.admission().capacity_per_second()},
        {"tickets", number(sources.local.stored_ticket_count())}};
    auto const hosts_revision = sources.replicator.revision(document_kind::hosts);
    auto const age = [&](document_kind kind) {
        return (now - sources.in_force_since.at(static_cast<std::size_t>(kind))).milliseconds;
    };
    QJsonObject const status{
        {"host", to_qstring(context.options.host)},
        {"failure_domain", to_qstring(context.options.failure_domain)},
        {"service", to_qstring(context.options.service)},
        {"incarnation", QString::number(context.incarnation, 16)},
        {"phase", to_qstring(name_of(context.phase))},
        {"ready", sources.ready},
        {"control", to_qstring(name_of(context.options.mode))},
        {"configuration_revision", number(sources.replicator.revision(document_kind::configuration))},
        {"configuration_age_ms", age(document_kind::configuration)},
        {"hosts_revision", number(hosts_revision)},
        {"hosts_epoch", number(epoch_of(hosts_revision))},
        {"hosts_age_ms", age(document_kind::hosts)},
        {"evacuated", context.is_evacuated()},
        {"evacuated_domains", evacuations_to_json(context, now)},
        {"reads_platform", sources.reads_platform},
        {"rights", rights},
        {"target", target},
        {"answers", answers_to_json(context.node_metrics)},
        {"links_refused", number(context.node_metrics.counter("links_refused"))},
        {"links_silent", number(context.node_metrics.counter("links_silent"))},
        {"retries", number(context.node_metrics.counter("retries"))},
        {"quarantine", quarantine_to_json(context.request_quarantine, now)},
        {"peers", peers_to_json(context, now)}};
    return QJsonDocument(status).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace caraway
