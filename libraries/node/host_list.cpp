#include "node/host_list.hpp"

#include "base/digest.hpp"
#include "config/settings.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_map>

namespace caraway {

namespace {

constexpr std::size_t bucket_count = 64;
/// Doubles hold every whole number up to it.
constexpr double max_whole_number = 9'007'199'254'740'992;
constexpr std::size_t max_evacuated_domains = 1000;
constexpr auto domains_value = "domains";

QString to_qstring(std::string const& value) {
    return QString::fromStdString(value);
}

QJsonObject to_json(listed_host const& entry) {
    QJsonObject object{{"host", to_qstring(entry.host)},
                       {"failure_domain", to_qstring(entry.failure_domain)},
                       {"service", to_qstring(entry.service)},
                       {"link", to_qstring(entry.link)},
                       {"state", entry.leaving ? "leaving" : "live"}};
    if (!entry.instance.empty()) {
        object.insert("instance", to_qstring(entry.instance));
    }
    if (entry.started_ms > 0) {
        object.insert("started_ms", static_cast<double>(entry.started_ms));
    }
    if (entry.slots > 0) {
        object.insert("slots", entry.slots);
    }
    if (entry.warm_up_ms > 0) {
        object.insert("warm_up_ms", entry.warm_up_ms);
    }
    if (entry.unconfirmed) {
        object.insert("unconfirmed", true);
    }
    return object;
}

result<listed_host> host_from_json(QJsonObject const& object) {
    listed_host entry{.host = object.value("host").toString().toStdString(),
                      .failure_domain = object.value("failure_domain").toString().toStdString(),
                      .service = object.value("service").toString().toStdString(),
                      .link = object.value("link").toString().toStdString(),
                      .leaving = object.value("state").toString() == "leaving",
                      .instance = object.value("instance").toString().toStdString(),
                      .started_ms = whole_number(object.value("started_ms")).value_or(0),
                      .slots = std::max(0, object.value("slots").toInt()),
                      .warm_up_ms =
                          std::clamp(object.value("warm_up_ms").toDouble(), 0.0, max_listed_cold_ms),
                      .unconfirmed = object.value("unconfirmed").toBool()};
    BOOST_LEAF_CHECK(parse_endpoint(entry.link));
    auto const is_name = [](std::string const& text) {
        return !text.empty() && text.size() <= max_listed_name;
    };
    bool const named = is_name(entry.host) && is_name(entry.failure_domain) && is_name(entry.service);
    if (!named) {
        return fail({result_code::configuration_missing,
                     "A listed host has no valid name, no failure domain or no service."});
    }
    return entry;
}

result<void> read_hosts(QJsonArray const& rows, std::vector<listed_host>& hosts) {
    for (auto const& row : rows) {
        BOOST_LEAF_AUTO(entry, host_from_json(row.toObject()));
        hosts.push_back(std::move(entry));
    }
    return {};
}

QJsonArray domains_to_json(std::vector<evacuated_domain> domains) {
    std::ranges::sort(domains, {}, &evacuated_domain::name);
    QJsonArray rows;
    for (auto const& domain : domains) {
        rows.append(QJsonObject{{"name", to_qstring(domain.name)}, {"since", QString::number(domain.since)}});
    }
    return rows;
}

result<void> read_domains(QJsonArray const& rows, std::vector<evacuated_domain>& domains) {
    for (auto const& row : rows) {
        auto const object = row.toObject();
        evacuated_domain domain{.name = object.value("name").toString().toStdString(),
                                .since = object.value("since").toString().toULongLong()};
        bool const is_known =
            std::ranges::find(domains, domain.name, &evacuated_domain::name) != domains.end();
        bool const is_valid = !domain.name.empty() && domain.name.size() <= max_listed_name &&
                              domains.size() < max_evacuated_domains;
        if (!is_valid) {
            return fail({result_code::configuration_missing,
                         "An evacuated failure domain has no valid name, or there are too many."});
        }
        if (!is_known) {
            domains.push_back(std::move(domain));
        }
    }
    return {};
}

std::string to_compact_json(QJsonObject const& object) {
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace

std::optional<std::uint64_t> whole_number(QJsonValue const& value) {
    if (value.isUndefined() || value.isNull()) {
        return 0;
    }
    double const number = value.toDouble(-1);
    bool const is_whole = number >= 0 && number <= max_whole_number && number == std::floor(number);
    return is_whole ? std::optional(static_cast<std::uint64_t>(number)) : std::nullopt;
}

result<host_list> parse_host_list(std::string const& json) {
    auto const object = QJsonDocument::fromJson(QByteArray::fromStdString(json)).object();
    bool valid = false;
    host_list list{.revision = object.value("revision").toString().toULongLong(&valid)};
    if (!valid) {
        return fail({result_code::configuration_wrong_type, "The host list has no revision."});
    }
    BOOST_LEAF_CHECK(read_hosts(object.value("hosts").toArray(), list.hosts));
    BOOST_LEAF_CHECK(read_domains(object.value("evacuated_domains").toArray(), list.evacuated_domains));
    return list;
}

std::vector<listed_host> merge_host_list(std::vector<listed_host> const& in_force, host_list const& newer) {
    auto merged = newer.hosts;
    if (in_force.empty()) {
        return merged;
    }
    std::unordered_map<std::string_view, listed_host const*> known_hosts;
    for (auto const& entry : in_force) {
        known_hosts[entry.host] = &entry;
    }
    std::erase_if(merged, [&](listed_host const& entry) {
        auto const known = known_hosts.find(entry.host);
        bool const is_in_force = known != known_hosts.end() && known->second->instance == entry.instance;
        return entry.unconfirmed && !is_in_force;
    });
    for (auto& entry : merged) {
        auto const known = known_hosts.find(entry.host);
        bool const is_same_incarnation = known != known_hosts.end() && !entry.instance.empty() &&
                                         known->second->instance == entry.instance &&
                                         known->second->started_ms == entry.started_ms;
        entry.leaving = entry.leaving || (is_same_incarnation && known->second->leaving);
    }
    return merged;
}

std::string host_list_to_json(host_list const& list) {
    QJsonArray rows;
    for (auto const& entry : list.hosts) {
        rows.append(to_json(entry));
    }
    QJsonObject object{{"revision", QString::number(list.revision)}, {"hosts", rows}};
    if (!list.evacuated_domains.empty()) {
        object.insert("evacuated_domains", domains_to_json(list.evacuated_domains));
    }
    return to_compact_json(object);
}

bundle make_host_list_bundle(host_list const& list) {
    auto sorted = list.hosts;
    std::ranges::sort(sorted, {}, &listed_host::host);
    std::vector<QJsonArray> buckets(bucket_count);
    for (auto const& entry : sorted) {
        buckets[fast_hash(entry.host) % bucket_count].append(to_json(entry));
    }
    bundle published;
    QJsonObject digests;
    auto const add_value = [&](std::string const& name, std::string const& value) {
        digests.insert(to_qstring(name), to_qstring(value_digest(value)));
        published.values[name] = value;
    };
    for (std::size_t index = 0; index < bucket_count; ++index) {
        if (!buckets[index].isEmpty()) {
            add_value("hosts." + std::to_string(index), to_compact_json({{"hosts", buckets[index]}}));
        }
    }
    if (!list.evacuated_domains.empty()) {
        add_value(domains_value,
                  to_compact_json({{"evacuated_domains", domains_to_json(list.evacuated_domains)}}));
    }
    published.manifest_text =
        to_compact_json({{"revision", QString::number(list.revision)}, {"values", digests}});
    return published;
}

result<host_list> parse_host_list_bundle(bundle const& published) {
    BOOST_LEAF_AUTO(parsed, parse_manifest(published.manifest_text));
    host_list list{.revision = parsed.revision};
    for (auto const& [name, digest] : parsed.digests) {
        auto const value = published.values.find(name);
        if (value == published.values.end() || value_digest(value->second) != digest) {
            return fail(
                {result_code::configuration_digest, "The value '" + name + "' is missing or damaged."});
        }
        auto const object = QJsonDocument::fromJson(QByteArray::fromStdString(value->second)).object();
        BOOST_LEAF_CHECK(read_hosts(object.value("hosts").toArray(), list.hosts));
        BOOST_LEAF_CHECK(read_domains(object.value("evacuated_domains").toArray(), list.evacuated_domains));
    }
    return list;
}

} // namespace caraway
