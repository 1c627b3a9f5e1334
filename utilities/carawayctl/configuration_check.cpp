#include "configuration_check.hpp"

#include "config/bundle.hpp"
#include "config/configuration_review.hpp"
#include "http_get.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <map>
#include <optional>
#include <set>

namespace caraway {

namespace {

constexpr std::string_view in_force = "in-force";

QString text(std::string_view value) {
    return QString::fromUtf8(value.data(), static_cast<qsizetype>(value.size()));
}

std::string place_text(std::string const& file, int line) {
    return file + (line > 0 ? ":" + std::to_string(line) : "") + (file.empty() ? "" : ": ");
}

struct compared_configuration {
    std::string name; ///< Where it comes from, in words.
    item_set items;
};

result<compared_configuration> fetch_in_force(std::vector<std::string> const& nodes) {
    std::optional<bundle> newest;
    std::uint64_t revision = 0;
    std::string origin;
    for (auto const& node : nodes) {
        attempt_or(
            [&]() -> result<bool> {
                BOOST_LEAF_AUTO(body, http_get("http://" + node + "/configuration"));
                BOOST_LEAF_AUTO(published, bundle_from_json(body));
                BOOST_LEAF_AUTO(parsed, parse_manifest(published.manifest_text));
                if (newest && parsed.revision != revision) {
                    std::cerr << "The nodes have different revisions in force: " << revision << " and "
                              << parsed.revision << "; the later one is used.\n";
                }
                if (!newest || parsed.revision > revision) {
                    newest = std::move(published);
                    revision = parsed.revision;
                    origin = node;
                }
                return true;
            },
            [&node](problem const& cause) {
                std::cerr << "Node " << node << " gives no configuration: " << to_text(cause) << '\n';
                return false;
            });
    }
    if (!newest) {
        return fail(
            {result_code::io_failed, "No node gives the configuration in force; nothing was compared."});
    }
    BOOST_LEAF_AUTO(items, bundle_items(*newest));
    return compared_configuration{"revision " + std::to_string(revision) + " in force at " + origin,
                                  std::move(items)};
}

/// Adds what the node at hand says of the targets: by host, since several nodes know the same ones.
struct measured_target {
    std::string service;
    double limit{0};
    double request_ms{0};
};

void add_measured_targets(std::string const& status, std::map<std::string, measured_target>& targets) {
    auto const peers =
        QJsonDocument::fromJson(QByteArray::fromStdString(status)).object().value("peers").toArray();
    for (auto const& row : peers) {
        auto const peer = row.toObject();
        targets[peer.value("host").toString().toStdString()] = {
            peer.value("service").toString().toStdString(), peer.value("limit").toDouble(),
            peer.value("request_ms").toDouble()};
    }
}

/// What the services carry by the measured length of their requests. A service is left out unless it is known
/// of all its targets.
std::map<std::string, service_capacity> measure_capacities(std::vector<std::string> const& nodes,
                                                           item_set const& items) {
    std::map<std::string, measured_target> targets;
    for (auto const& node : nodes) {
        attempt_or(
            [&]() -> result<bool> {
                BOOST_LEAF_AUTO(status, http_get("http://" + node + "/status"));
                add_measured_targets(status, targets);
                return true;
            },
            [](problem const&) { return false; });
    }
    constexpr double ms_per_second = 1000;
    auto const services = items.find("services");
    std::map<std::string, service_capacity> capacities;
    std::set<std::string> unknown;
    for (auto const& [host, target] : targets) {
        if (target.request_ms <= 0 || services == items.end() || !services->second.contains(target.service)) {
            unknown.insert(target.service);
            continue;
        }
        auto const* configured = find_field(services->second.at(target.service), "slots");
        double const slots = configured == nullptr ? target.limit : std::get<double>(configured->value);
        double const carried = slots * ms_per_second / target.request_ms;
        auto& known = capacities[target.service];
        known.requests_per_second += carried;
        known.requests_per_second_and_target = std::max(known.requests_per_second_and_target, carried);
    }
    std::erase_if(capacities, [&unknown](auto const& entry) { return unknown.contains(entry.first); });
    return capacities;
}

/// What is compared with may be wrong in ways that only matter to nodes, but has to be readable.
result<compared_configuration> read_compared(command_line const& line) {
    if (line.against == in_force) {
        return fetch_in_force(line.nodes);
    }
    item_set items;
    if (std::filesystem::is_directory(line.against)) {
        BOOST_LEAF_ASSIGN(items, read_configuration_folder(line.against));
    } else {
        BOOST_LEAF_CHECK(
            read_toml_file(line.against, file_layout::named_items, configuration_schema(), items));
    }
    return compared_configuration{line.against, std::move(items)};
}

QJsonObject to_json(finding const& entry) {
    return {{"severity", text(name_of(entry.severity))},
            {"key", text(entry.key)},
            {"message", text(entry.message)},
            {"file", text(entry.file)},
            {"line", entry.line}};
}

QJsonObject to_json(configuration_difference const& entry) {
    return {{"change", text(name_of(entry.change))},
            {"key", text(entry.key)},
            {"before", text(entry.before)},
            {"after", text(entry.after)},
            {"affected", text(entry.affected)},
            {"file", text(entry.file)},
            {"line", entry.line}};
}

template <typename Rows>
QJsonArray rows_to_json(Rows const& rows) {
    QJsonArray array;
    for (auto const& row : rows) {
        array.append(to_json(row));
    }
    return array;
}

void print_difference(configuration_difference const& entry) {
    std::cout << "  " << place_text(entry.file, entry.line) << name_of(entry.change) << " " << entry.key;
    if (entry.change == configuration_difference::kind::changed) {
        std::cout << ": " << entry.before << " -> " << entry.after;
    }
    std::cout << (entry.affected.empty() ? "" : "  (" + entry.affected + ")") << '\n';
}

void print_findings(command_line const& line, configuration_review const& review) {
    for (auto const& entry : review.findings) {
        bool const is_error = entry.severity == finding_severity::error;
        std::string const name(name_of(entry.severity));
        std::cout << place_text(entry.file, entry.line)
                  << (line.colour ? (is_error ? "\033[31m" : "\033[33m") + name + "\033[0m" : name) << ": "
                  << entry.key << (entry.key.empty() ? "" : ": ") << entry.message << '\n';
    }
    if (review.findings.empty()) {
        std::cout << "No finding.\n";
    }
}

/// What a comparison was asked for and gave. Nothing is compared when the files have errors.
struct comparison {
    std::optional<compared_configuration> with;
    std::optional<problem> failure;
    std::vector<configuration_difference> differences;
};

/// With nodes to ask, also adds to the review what contradicts their measurements.
comparison compare(command_line const& line, configuration_review& review) {
    comparison compared;
    if (line.against.empty() || !review.is_valid) {
        return compared;
    }
    attempt_or(
        [&]() -> result<bool> {
            BOOST_LEAF_ASSIGN(compared.with, read_compared(line));
            compared.differences = compare_items(compared.with->items, review.items);
            return true;
        },
        [&compared](problem const& cause) {
            compared.failure = cause;
            return false;
        });
    if (compared.with && line.against == in_force) {
        auto const found = review_capacities(review.items, measure_capacities(line.nodes, review.items));
        review.findings.insert(review.findings.end(), found.begin(), found.end());
    }
    return compared;
}

void print_json(configuration_review const& review, comparison const& compared) {
    QJsonObject object{{"valid", review.is_valid}, {"findings", rows_to_json(review.findings)}};
    if (compared.with) {
        object.insert("against", text(compared.with->name));
        object.insert("differences", rows_to_json(compared.differences));
    } else if (compared.failure) {
        object.insert("against_failure", text(compared.failure->message));
    }
    std::cout << QJsonDocument(object).toJson(QJsonDocument::Indented).toStdString();
}

void print_comparison(command_line const& line, comparison const& compared) {
    if (compared.with) {
        std::cout << compared.differences.size() << " differences from " << compared.with->name << '\n';
        std::ranges::for_each(compared.differences, print_difference);
    } else if (!line.against.empty()) {
        std::cout << (compared.failure ? "Not compared.\n" : "Not compared: mend the errors first.\n");
    }
}

int exit_code_for(configuration_review const& review) {
    if (!review.is_valid) {
        return exit_problem;
    }
    bool const has_warning = std::ranges::any_of(
        review.findings, [](finding const& entry) { return entry.severity == finding_severity::warning; });
    return has_warning ? exit_warning : exit_success;
}

} // namespace

result<int> check_configuration(command_line const& line) {
    bool const lacks_node = line.against == in_force && line.nodes.empty();
    if (line.operands.front() != "check" || lacks_node) {
        std::cerr << (lacks_node ? "'--against in-force' needs --node IP:PORT.\n"
                                 : "'config' needs: check FILE...\n");
        return exit_usage;
    }
    auto review = review_files({line.operands.begin() + 1, line.operands.end()});
    auto const compared = compare(line, review);
    if (line.json) {
        print_json(review, compared);
    } else {
        print_findings(line, review);
        print_comparison(line, compared);
    }
    if (compared.failure) {
        return fail(*compared.failure);
    }
    return exit_code_for(review);
}

} // namespace caraway
