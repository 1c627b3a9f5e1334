#include "commands.hpp"

#include "base/digest.hpp"
#include "config/bundle.hpp"
#include "config/configuration_review.hpp"
#include "configuration_check.hpp"
#include "fleet_view.hpp"
#include "http_get.hpp"
#include "request_log.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace caraway {

namespace {

/// Enough to write every bound without an exponent.
constexpr int number_digits = 12;

using command_function = result<int> (*)(command_line const&);

struct command_entry {
    std::string_view name;
    std::string_view operand;
    std::size_t operand_count;
    std::string_view help;
    command_function run;
};

QString text(std::string_view value) {
    return QString::fromUtf8(value.data(), static_cast<qsizetype>(value.size()));
}

void print_json(QJsonDocument const& document) {
    std::cout << document.toJson(QJsonDocument::Indented).toStdString();
}

std::string colourise(command_line const& line, std::string const& content, std::string_view code) {
    return line.colour ? "\033[" + std::string(code) + "m" + content + "\033[0m" : content;
}

result<int> check(command_line const& line) {
    BOOST_LEAF_AUTO(items, read_configuration_folder(line.operands.front()));
    BOOST_LEAF_AUTO(new_bundle, make_bundle(items, 1));
    BOOST_LEAF_AUTO(compiled, compile_bundle(new_bundle));
    std::size_t largest = 0;
    for (auto const& [name, value] : new_bundle.values) {
        largest = std::max(largest, value.size());
    }
    if (line.json) {
        print_json(
            QJsonDocument(QJsonObject{{"ok", true},
                                      {"organisations", static_cast<int>(compiled->organisations().size())},
                                      {"keys", static_cast<int>(compiled->key_count())},
                                      {"routes", static_cast<int>(compiled->routes().size())},
                                      {"services", static_cast<int>(compiled->services().size())},
                                      {"values", static_cast<int>(new_bundle.values.size())},
                                      {"largest_value_bytes", static_cast<int>(largest)}}));
        return exit_success;
    }
    std::cout << colourise(line, "ok", "32") << ": " << compiled->organisations().size() << " organisations, "
              << compiled->key_count() << " keys, " << compiled->services().size() << " services, "
              << compiled->routes().size() << " routes; " << new_bundle.values.size()
              << " values, the largest of " << largest << " bytes\n";
    for (auto const& entry : review_items(items).findings) {
        std::cout << colourise(line, std::string(name_of(entry.severity)), "33") << ": " << entry.key << ": "
                  << entry.message << '\n';
    }
    return exit_success;
}

result<int> bundle_command(command_line const& line) {
    if (line.revision == 0) {
        return fail(
            {result_code::configuration_missing, "'bundle' needs --revision N, higher than any before."});
    }
    BOOST_LEAF_AUTO(items, read_configuration_folder(line.operands.front()));
    BOOST_LEAF_AUTO(new_bundle, make_bundle(items, line.revision));
    std::cout << bundle_to_json(new_bundle) << '\n';
    return exit_success;
}

QJsonObject item_to_json(field_map const& fields) {
    QJsonObject object;
    for (auto const& [name, value] : fields) {
        object.insert(text(name), QJsonObject{{"value", text(to_display_text(value))},
                                              {"file", text(value.file)},
                                              {"line", value.line}});
    }
    return object;
}

result<int> show(command_line const& line) {
    BOOST_LEAF_AUTO(items, read_configuration_folder(line.operands.front()));
    QJsonObject sections;
    for (auto const& [section, section_items] : items) {
        QJsonObject rows;
        for (auto const& [name, fields] : section_items) {
            rows.insert(text(name), item_to_json(fields));
            if (line.json) {
                continue;
            }
            std::cout << colourise(line, "[" + section + "." + name + "]", "1") << '\n';
            for (auto const& [field_name, value] : fields) {
                std::cout << "  " << std::left << std::setw(18) << field_name << std::setw(30)
                          << to_display_text(value) << "# " << value.file << ':' << value.line << '\n';
            }
        }
        sections.insert(text(section), rows);
    }
    if (line.json) {
        print_json(QJsonDocument(sections));
    }
    BOOST_LEAF_CHECK(configuration::create(items, 1));
    return exit_success;
}

void print_object(QJsonObject const& object, std::string const& indent) {
    for (auto entry = object.begin(); entry != object.end(); ++entry) {
        auto const name = entry.key().toStdString();
        if (entry.value().isArray()) {
            std::cout << indent << name << ":\n";
            for (auto const& row : entry.value().toArray()) {
                std::cout << indent << "  ";
                auto const columns = row.toObject();
                for (auto column = columns.begin(); column != columns.end(); ++column) {
                    std::cout << column.key().toStdString() << '='
                              << column.value().toVariant().toString().toStdString() << ' ';
                }
                std::cout << '\n';
            }
        } else if (entry.value().isObject()) {
            std::cout << indent << name << ":\n";
            print_object(entry.value().toObject(), indent + "  ");
        } else {
            std::cout << indent << std::left << std::setw(24) << name
                      << entry.value().toVariant().toString().toStdString() << '\n';
        }
    }
}

result<int> status(command_line const& line) {
    BOOST_LEAF_AUTO(body, http_get("http://" + line.operands.front() + "/status"));
    auto const document = QJsonDocument::fromJson(QByteArray::fromStdString(body));
    if (!document.isObject()) {
        return fail({result_code::io_failed, "The node's status is not a JSON object."});
    }
    if (line.json) {
        print_json(document);
    } else {
        print_object(document.object(), "");
    }
    return document.object().value("ready").toBool() ? exit_success : exit_problem;
}

void print_fleet_view(fleet_view const& view) {
    std::cout << "evacuated failure domains:" << (view.domains().empty() ? " none" : "") << '\n';
    for (auto const& [name, domain] : view.domains()) {
        std::cout << "  " << name << " since revision " << domain.since << ", in force at "
                  << domain.node_count << " of " << view.node_count() << " nodes, for "
                  << std::llround(domain.in_force_ms) << " ms"
                  << (domain.is_kept_after_restore ? ", kept after a restore" : "") << '\n';
    }
    auto const targets = view.targets();
    std::cout << "cold, limited or leaving targets:" << (targets.empty() ? " none" : "") << '\n';
    for (auto const& [host, target] : targets) {
        std::cout << "  " << host << " (" << target.service << ", " << target.failure_domain << ")";
        if (target.cold_ms > 0) {
            std::cout << " cold for " << std::llround(target.cold_ms) << " ms more"
                      << (target.cold_reason.empty() ? "" : ": " + target.cold_reason);
        }
        if (target.rate_limit) {
            std::cout << " limit " << *target.rate_limit << "/s";
        }
        std::cout << (target.is_leaving ? " leaving" : "") << '\n';
    }
}

result<int> fleet(command_line const& line) {
    fleet_view view;
    bool has_all_answers = true;
    for (auto const& address : line.operands) {
        auto const status = attempt_or(
            [&]() -> result<QJsonObject> {
                BOOST_LEAF_AUTO(body, http_get("http://" + address + "/status"));
                return QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
            },
            [](problem const&) { return QJsonObject{}; });
        if (status.isEmpty()) {
            std::cerr << address << " does not answer.\n";
            has_all_answers = false;
            continue;
        }
        view.add(status);
    }
    if (line.json) {
        print_json(QJsonDocument(view.to_json()));
    } else {
        print_fleet_view(view);
    }
    if (!has_all_answers) {
        return exit_problem;
    }
    return view.is_uniform() ? exit_success : exit_warning;
}

struct span_row {
    QString id;
    QString parent;
    QString name;
    QString host;
    double start_ms{0};
    double taken_ms{0};
};

void collect_spans(QJsonObject const& request, std::string const& trace, std::vector<span_row>& rows) {
    for (auto const& resource : request.value("resourceSpans").toArray()) {
        QString host;
        for (auto const& attribute :
             resource.toObject().value("resource").toObject().value("attributes").toArray()) {
            if (attribute.toObject().value("key").toString() == "host.name") {
                host = attribute.toObject().value("value").toObject().value("stringValue").toString();
            }
        }
        for (auto const& scope : resource.toObject().value("scopeSpans").toArray()) {
            for (auto const& value : scope.toObject().value("spans").toArray()) {
                auto const span = value.toObject();
                bool wanted = span.value("traceId").toString().toStdString() == trace;
                for (auto const& attribute : span.value("attributes").toArray()) {
                    wanted = wanted ||
                             attribute.toObject().value("value").toObject().value("stringValue").toString() ==
                                 text(trace);
                }
                if (!wanted) {
                    continue;
                }
                double const start = span.value("startTimeUnixNano").toString().toDouble() / 1e6;
                double const end = span.value("endTimeUnixNano").toString().toDouble() / 1e6;
                rows.push_back({span.value("spanId").toString(), span.value("parentSpanId").toString(),
                                span.value("name").toString(), host, start, end - start});
            }
        }
    }
}

void print_tree(std::vector<span_row> const& rows, QString const& parent, int depth, double origin_ms) {
    for (auto const& row : rows) {
        bool const is_root = std::ranges::none_of(
            rows, [&](span_row const& other) { return !row.parent.isEmpty() && other.id == row.parent; });
        bool const is_at_this_level = depth == 0 ? is_root : row.parent == parent;
        if (!is_at_this_level) {
            continue;
        }
        std::cout << std::string(static_cast<std::size_t>(depth) * 2, ' ') << row.name.toStdString() << "  ["
                  << row.host.toStdString() << "]  +" << std::fixed << std::setprecision(2)
                  << row.start_ms - origin_ms << " ms, " << row.taken_ms << " ms\n";
        print_tree(rows, row.id, depth + 1, origin_ms);
    }
}

result<int> trace(command_line const& line) {
    std::vector<span_row> rows;
    for (std::size_t index = 1; index < line.operands.size(); ++index) {
        std::ifstream stream(line.operands[index]);
        if (!stream) {
            return fail({result_code::io_failed, "The span file can't be read.", line.operands[index]});
        }
        std::string request;
        while (std::getline(stream, request)) {
            collect_spans(QJsonDocument::fromJson(QByteArray::fromStdString(request)).object(),
                          line.operands.front(), rows);
        }
    }
    if (rows.empty()) {
        std::cerr << "No span belongs to '" << line.operands.front() << "'.\n";
        return exit_problem;
    }
    std::ranges::sort(rows, {}, &span_row::start_ms);
    if (line.json) {
        QJsonArray array;
        for (auto const& row : rows) {
            array.append(QJsonObject{{"span", row.id},
                                     {"parent", row.parent},
                                     {"name", row.name},
                                     {"host", row.host},
                                     {"start_ms", row.start_ms},
                                     {"taken_ms", row.taken_ms}});
        }
        print_json(QJsonDocument(array));
        return exit_success;
    }
    print_tree(rows, "", 0, rows.front().start_ms);
    return exit_success;
}

result<int> explain(command_line const& line) {
    auto const& wanted = line.operands.front();
    auto const found = std::ranges::find_if(result_codes(), [&](result_code_entry const& entry) {
        return entry.name == wanted || std::to_string(static_cast<int>(entry.code)) == wanted;
    });
    if (found == result_codes().end()) {
        std::cerr << "No code is named '" << wanted << "'; docs/CODES.md lists them all.\n";
        return exit_problem;
    }
    if (line.json) {
        print_json(QJsonDocument(QJsonObject{{"code", static_cast<int>(found->code)},
                                             {"name", text(found->name)},
                                             {"http_status", found->http_status},
                                             {"meaning", text(found->meaning)},
                                             {"remedy", text(found->remedy)}}));
        return exit_success;
    }
    std::cout << static_cast<int>(found->code) << ' ' << colourise(line, std::string(found->name), "1")
              << '\n'
              << found->meaning << '\n'
              << found->remedy << '\n';
    return exit_success;
}

result<int> codes(command_line const&) {
    std::cout << "| Code | Name | HTTP | Meaning | What to do |\n|---|---|---|---|---|\n";
    for (auto const& entry : result_codes()) {
        std::cout << "| " << static_cast<int>(entry.code) << " | `" << entry.name << "` | "
                  << (entry.http_status == 0 ? "-" : std::to_string(entry.http_status)) << " | "
                  << entry.meaning << " | " << entry.remedy << " |\n";
    }
    return exit_success;
}

result<int> settings_reference(command_line const&) {
    auto const print = [](std::span<field const> fields) {
        std::cout << "| Name | Type | Bounds | Unit | Required | Meaning |\n|---|---|---|---|---|---|\n";
        for (auto const& entry : fields) {
            std::ostringstream bounds;
            bounds << std::setprecision(number_digits);
            if (entry.type != value_type::boolean) {
                bounds << entry.minimum << " to " << entry.maximum;
            }
            std::cout << "| `" << entry.section << "." << entry.name << "` | " << name_of(entry.type) << " | "
                      << bounds.str() << " | " << entry.unit << " | " << (entry.required ? "yes" : "no")
                      << " | " << entry.description << " |\n";
        }
    };
    std::cout << "## The operators' folder\n\n";
    print(configuration_schema());
    std::cout << "\n## A node's settings file\n\n";
    print(settings_schema());
    return exit_success;
}

result<int> key_hash(command_line const&) {
    // Read from standard input, so that the key appears in no process list and no shell history.
    std::string key;
    std::getline(std::cin, key);
    if (key.empty()) {
        return fail({result_code::configuration_missing, "Give the key on standard input."});
    }
    std::cout << sha256_hex(key) << '\n';
    return exit_success;
}

void print_request_lines(std::vector<log_line> const& lines, std::string const& request_id) {
    for (auto const& line : lines) {
        std::cout << line.timestamp << "  " << line.event;
        for (auto const& field : line.fields) {
            std::cout << ' ' << field.name << '=' << field.value;
        }
        std::cout << '\n';
    }
    auto const* outcome_line = find_outcome(lines, request_id);
    if (outcome_line == nullptr) {
        std::cout << "No node ended the request itself; its target answered, or its line was left out.\n";
        return;
    }
    auto const code = outcome_line->field("code");
    auto const entry = std::ranges::find(result_codes(), code, &result_code_entry::name);
    std::cout << "Ended by: " << code;
    if (entry != result_codes().end()) {
        std::cout << " - " << entry->meaning << ' ' << entry->remedy;
    }
    std::cout << '\n';
}

QJsonDocument request_lines_to_json(std::vector<log_line> const& lines) {
    QJsonArray rows;
    for (auto const& line : lines) {
        QJsonObject row{{"timestamp", text(line.timestamp)}, {"event", text(line.event)}};
        for (auto const& field : line.fields) {
            row.insert(text(field.name), text(field.value));
        }
        rows.append(row);
    }
    return QJsonDocument(rows);
}

result<int> explain_request(command_line const& line) {
    auto const& request_id = line.operands.front();
    std::vector<log_line> lines;
    if (line.operands.size() == 1) {
        collect_request_lines(std::cin, request_id, lines);
    }
    for (std::size_t index = 1; index < line.operands.size(); ++index) {
        std::ifstream log(line.operands[index]);
        if (!log) {
            return fail(
                {result_code::configuration_unreadable, "The log can't be read.", line.operands[index]});
        }
        collect_request_lines(log, request_id, lines);
    }
    if (lines.empty()) {
        std::cerr << "No line names the request '" << request_id << "'.\n";
        return exit_problem;
    }
    sort_by_time(lines);
    if (line.json) {
        print_json(request_lines_to_json(lines));
    } else {
        print_request_lines(lines, request_id);
    }
    return exit_success;
}

constexpr auto commands = std::to_array<command_entry>({
    {"check", "DIR", 1, "merge the folder and report the first mistake with file and line", check},
    {"config", "check FILE...", 2,
     "report every finding in files or folders, and with --against what publishing them would change",
     check_configuration},
    {"bundle", "DIR", 1, "print the values to publish as JSON; needs --revision", bundle_command},
    {"show", "DIR", 1, "print the merged folder with the file and line of each value", show},
    {"status", "IP:PORT", 1, "print a node's status from its operators' address; fails unless it is ready",
     status},
    {"fleet", "IP:PORT...", 1,
     "print which failure domains are evacuated at which of these nodes, and which targets are cold, limited "
     "or leaving",
     fleet},
    {"trace", "ID FILE...", 2, "print the call tree of a trace or request id from span files", trace},
    {"explain-request", "ID [LOG...]", 1,
     "print what the nodes' logs, or standard input, say of a request and its calls", explain_request},
    {"explain", "CODE", 1, "explain a result code, by number or name", explain},
    {"codes", "", 0, "print the table of result codes as Markdown", codes},
    {"settings", "", 0, "print the table of all settings as Markdown", settings_reference},
    {"key-hash", "", 0, "print the hash of the key given on standard input", key_hash},
});

} // namespace

std::string command_help() {
    std::ostringstream stream;
    for (auto const& entry : commands) {
        stream << "  " << std::left << std::setw(24)
               << (std::string(entry.name) + " " + std::string(entry.operand)) << entry.help << '\n';
    }
    return stream.str();
}

result<int> run_command(command_line const& line) {
    auto const* found = std::ranges::find(commands, line.command, &command_entry::name);
    bool const usable = found != commands.end() && line.operands.size() >= found->operand_count;
    if (!usable) {
        std::cerr << (found == commands.end()
                          ? "No command is named '" + line.command + "'.\n"
                          : "'" + line.command + "' needs: " + std::string(found->operand) + "\n")
                  << "Commands:\n"
                  << command_help();
        return exit_usage;
    }
    return found->run(line);
}

} // namespace caraway
