#include "config/configuration_review.hpp"

#include "base/digest.hpp"
#include "config/bundle.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <set>
#include <sstream>
#include <tuple>

namespace caraway {

namespace {

constexpr std::array<std::string_view, 7> probe_methods{"GET",   "HEAD",   "POST",   "PUT",
                                                        "PATCH", "DELETE", "OPTIONS"};
/// Enough to write every bound without an exponent.
constexpr int number_digits = 12;
/// An authority that no route names, since it is no host name.
constexpr std::string_view other_authority = "!";

item_map const& section_of(item_set const& items, std::string const& section) {
    static item_map const empty;
    auto const found = items.find(section);
    return found == items.end() ? empty : found->second;
}

double number_or(field_map const& fields, std::string const& name, double fallback) {
    auto const* found = find_field(fields, name);
    return found == nullptr ? fallback : std::get<double>(found->value);
}

/// The key of the value at a place of a file; empty when there is none.
std::string key_at(item_set const& items, std::string const& file, int line) {
    for (auto const& [section, section_items] : items) {
        for (auto const& [name, fields] : section_items) {
            for (auto const& [field_name, value] : fields) {
                if (value.file == file && value.line == line && line > 0) {
                    return section + "." + name + "." + field_name;
                }
            }
        }
    }
    return {};
}

/// The name in quotation marks that the checks begin their messages with.
std::string quoted_name(std::string const& message) {
    auto const begin = message.find('\'');
    auto const end = begin == std::string::npos ? begin : message.find('\'', begin + 1);
    return end == std::string::npos ? std::string{} : message.substr(begin + 1, end - begin - 1);
}

finding error_of(problem const& cause, item_set const& items) {
    auto key = key_at(items, cause.file, cause.line);
    return {.severity = finding_severity::error,
            .key = key.empty() ? quoted_name(cause.message) : std::move(key),
            .message = cause.message,
            .file = cause.file,
            .line = cause.line};
}

/// `field_name`: the field to name as the place; the item's first one when it has no such field.
finding finding_at(finding_severity severity, item_set const& items, std::string const& section,
                   std::string const& name, std::string const& field_name, std::string message) {
    auto const& fields = section_of(items, section).at(name);
    auto const* place = find_field(fields, field_name);
    auto key = section + "." + name + (place == nullptr ? "" : "." + field_name);
    if (place == nullptr && !fields.empty()) {
        place = &fields.begin()->second;
    }
    return {.severity = severity,
            .key = std::move(key),
            .message = std::move(message),
            .file = place == nullptr ? "" : place->file,
            .line = place == nullptr ? 0 : place->line};
}

std::string text_field(field_map const& fields, std::string const& name) {
    auto const* found = find_field(fields, name);
    auto const* content = found == nullptr ? nullptr : std::get_if<std::string>(&found->value);
    return content == nullptr ? std::string{} : *content;
}

bool leads_to(field_map const& route, std::string const& service) {
    auto const split = text_field(route, "split");
    return split.empty() ? text_field(route, "service") == service
                         : ("," + split).find("," + service + "=") != std::string::npos;
}

/// Applies the rules to a configuration that the nodes accept.
class reviewer {
public:
    reviewer(item_set const& read, configuration const& built, std::vector<finding>& output)
        : items(read), compiled(built), findings(output) {}

    void run() {
        this->review_routes();
        this->review_services();
        this->review_organisations();
        this->review_keys();
    }

private:
    void report(finding_severity severity, std::string const& section, std::string const& name,
                std::string const& field_name, std::string message) {
        this->findings.push_back(
            finding_at(severity, this->items, section, name, field_name, std::move(message)));
    }

    void review_routes() {
        for (auto const& entry : this->compiled.routes()) {
            this->review_match(entry);
            this->review_limits(entry);
            this->review_split(entry);
        }
    }

    /// Sends a request with exactly the route's path through the nodes' search. No other request has a better
    /// chance, as the longest path is used.
    void review_match(route const& entry) {
        std::string_view const authority =
            entry.authority.empty() ? other_authority : std::string_view(entry.authority);
        std::set<std::string> winners;
        for (auto const method : probe_methods) {
            if (!entry.method.empty() && entry.method != method) {
                continue;
            }
            auto const* matched = this->compiled.find_route(method, authority, entry.path);
            if (matched != nullptr && matched->name == entry.name) {
                return;
            }
            winners.insert(matched == nullptr ? "" : matched->name);
        }
        winners.erase("");
        if (winners.empty()) {
            bool const has_port = entry.authority.find(':') != std::string::npos;
            return this->report(finding_severity::warning, "routes", entry.name,
                                has_port ? "authority" : "path",
                                has_port ? "The route can never match: a request's authority is compared "
                                           "without its port."
                                         : "The route can never match: a request's path is compared without "
                                           "its query.");
        }
        std::string names;
        for (auto const& name : winners) {
            names += (names.empty() ? "'" : ", '") + name + "'";
        }
        this->report(finding_severity::warning, "routes", entry.name, "path",
                     "The route can never match: all its requests go to " + names + ".");
    }

    void review_limits(route const& entry) {
        if (entry.latency_objective_ms > 0 && entry.deadline_ms < entry.latency_objective_ms) {
            this->report(finding_severity::warning, "routes", entry.name, "deadline_ms",
                         "The deadline is earlier than the latency objective, so that no answer is late.");
        }
        auto const& fields = section_of(this->items, "routes").at(entry.name);
        bool const states_allowance = find_field(fields, "retry_allowance") != nullptr;
        bool const runs_under_ticket = !entry.idempotent && entry.requires_ticket;
        if (states_allowance && entry.retry_allowance > 0 && runs_under_ticket) {
            this->report(finding_severity::warning, "routes", entry.name, "retry_allowance",
                         "Requests with tickets are never retried by a node, so that this serves only the "
                         "calls below them.");
        } else if (entry.retry_allowance > max_sensible_allowance) {
            this->report(finding_severity::warning, "routes", entry.name, "retry_allowance",
                         "No budget bears so many retries: an organisation earns one in ten requests, a "
                         "service one in twenty.");
        }
        if (entry.idempotent && find_field(fields, "tickets") != nullptr && entry.requires_ticket) {
            this->report(finding_severity::note, "routes", entry.name, "tickets",
                         "Tickets apply to non-idempotent routes only.");
        }
    }

    void review_split(route const& entry) {
        auto const is_unused = [](split_part const& part) { return part.weight <= 0; };
        for (auto const& part : entry.split) {
            if (is_unused(part)) {
                this->report(finding_severity::note, "routes", entry.name, "split",
                             "The service '" + part.service + "' gets no part of the requests.");
            }
        }
        if (!entry.split.empty() && std::ranges::all_of(entry.split, is_unused)) {
            this->report(finding_severity::warning, "routes", entry.name, "split",
                         "All weights are 0, so that every request goes to '" + entry.service + "'.");
        }
        auto const& fields = section_of(this->items, "routes").at(entry.name);
        if (!entry.split.empty() && find_field(fields, "service") != nullptr) {
            this->report(finding_severity::warning, "routes", entry.name, "service",
                         "The service has no effect beside a split.");
        }
    }

    void review_services() {
        std::set<std::string> used;
        for (auto const& entry : this->compiled.routes()) {
            used.insert(entry.service);
            for (auto const& part : entry.split) {
                used.insert(part.service);
            }
        }
        for (auto const& [name, fields] : section_of(this->items, "services")) {
            if (!used.contains(name)) {
                this->report(finding_severity::warning, "services", name, "",
                             "No route leads to this service.");
            }
            auto const slots = number_or(fields, "slots", 0);
            if (slots > number_or(fields, "connections", 0)) {
                this->report(finding_severity::warning, "services", name, "slots",
                             "More slots than connections: a target runs one request on each connection.");
            }
            this->review_cold_pace(name, fields);
        }
    }

    void review_cold_pace(std::string const& service, field_map const& fields) {
        bool const has_rate = number_or(fields, "cold_rate", 0) > 0;
        bool const has_time = number_or(fields, "cold_ms", 0) > 0;
        if (has_rate != has_time) {
            this->report(finding_severity::warning, "services", service, has_rate ? "cold_rate" : "cold_ms",
                         "A cold rate and a cold time have an effect only together, and 0 counts as none.");
        } else if (!has_rate && find_field(fields, "health_path") != nullptr) {
            this->report(finding_severity::note, "services", service, "health_path",
                         "The path is asked only where the service has a cold rate and a cold time.");
        }
    }

    void review_organisations() {
        std::set<std::string> owners;
        for (auto const& [name, fields] : section_of(this->items, "keys")) {
            owners.insert(std::get<std::string>(fields.at("organisation").value));
        }
        for (auto const& [name, fields] : section_of(this->items, "organisations")) {
            if (!owners.contains(name)) {
                this->report(finding_severity::warning, "organisations", name, "",
                             "The organisation has no key, so that no request can belong to it.");
            }
            auto const* rate = find_field(fields, "rate");
            if (rate != nullptr && std::get<double>(rate->value) <= 0) {
                this->report(finding_severity::warning, "organisations", name, "rate",
                             "A rate of 0 limits nothing; withdraw the keys to admit nobody.");
            } else if (rate == nullptr && find_field(fields, "burst") != nullptr) {
                this->report(finding_severity::warning, "organisations", name, "burst",
                             "A burst without a rate has no effect.");
            }
            if (rate != nullptr) {
                this->review_burst(name, number_or(fields, "burst", 1));
            }
        }
    }

    void review_burst(std::string const& organisation, double burst) {
        for (auto const& [domain, entry] : this->compiled.failure_domains()) {
            if (entry.weight > 0 && burst * entry.weight < 1) {
                this->report(finding_severity::warning, "organisations", organisation, "burst",
                             "The part of the burst in the failure domain '" + domain +
                                 "' is below one request, so that the domain serves the organisation only "
                                 "while it can lease tokens from others.");
            }
        }
    }

    void review_keys() {
        bool const all_open = !this->compiled.routes().empty() &&
                              std::ranges::all_of(this->compiled.routes(), &route::allows_anonymous);
        for (auto const& [name, fields] : section_of(this->items, "keys")) {
            if (std::get<std::string>(fields.at("sha256").value) == sha256_hex("")) {
                this->report(finding_severity::warning, "keys", name, "sha256",
                             "The hash is that of an empty key, which no request can show.");
            } else if (this->compiled.routes().empty()) {
                this->report(finding_severity::warning, "keys", name, "",
                             "There is no route that the key could be used on.");
            } else if (all_open) {
                this->report(finding_severity::note, "keys", name, "",
                             "All routes are open: the key only says whose a request is.");
            }
        }
    }

    static constexpr int max_sensible_allowance = 5;

    item_set const& items;
    configuration const& compiled;
    std::vector<finding>& findings;
};

void sort_findings(std::vector<finding>& findings) {
    std::ranges::stable_sort(findings, {}, [](finding const& entry) {
        return std::tuple(entry.severity, std::string_view(entry.file), entry.line);
    });
}

void review_read_items(configuration_review& review) {
    for (auto const& mistake : configuration::find_mistakes(review.items)) {
        review.findings.push_back(error_of(mistake, review.items));
    }
    if (!review.findings.empty()) {
        return;
    }
    attempt_or(
        [&]() -> result<bool> {
            // The bundle is what nodes get, so that its limits of size are checked, too.
            BOOST_LEAF_AUTO(published, make_bundle(review.items, 1));
            BOOST_LEAF_AUTO(compiled, compile_bundle(published));
            reviewer(review.items, *compiled, review.findings).run();
            review.is_valid = true;
            return true;
        },
        [&](problem const& cause) {
            review.findings.push_back(error_of(cause, review.items));
            return false;
        });
}

void add_item_fields(std::vector<configuration_difference>& differences, std::string const& item,
                     std::string const& affected, field_map const& current, field_map const& wanted) {
    std::set<std::string> names;
    for (auto const* fields : {&current, &wanted}) {
        for (auto const& [name, value] : *fields) {
            names.insert(name);
        }
    }
    for (auto const& name : names) {
        auto const* before = find_field(current, name);
        auto const* after = find_field(wanted, name);
        if (before != nullptr && after != nullptr && before->value == after->value) {
            continue;
        }
        differences.push_back({.change = configuration_difference::kind::changed,
                               .key = item + "." + name,
                               .before = before == nullptr ? "default" : to_display_text(*before),
                               .after = after == nullptr ? "default" : to_display_text(*after),
                               .affected = affected,
                               .file = after == nullptr ? "" : after->file,
                               .line = after == nullptr ? 0 : after->line});
    }
}

std::string rate_text(double requests_per_second) {
    return std::to_string(std::llround(requests_per_second)) + " requests/s";
}

std::string count_text(std::size_t count, std::string const& what) {
    return std::to_string(count) + " " + what + (count == 1 ? "" : "s");
}

std::string callers_of_route(field_map const& route) {
    auto const method = text_field(route, "method");
    auto const* open = find_field(route, "open");
    bool const is_open = open != nullptr && std::get<bool>(open->value);
    return "callers of " + (method.empty() ? "" : method + " ") + text_field(route, "authority") +
           text_field(route, "path") + (is_open ? ", also without a key" : "");
}

std::string routes_to_service(item_set const& items, std::string const& service) {
    std::size_t count = 0;
    for (auto const& [name, fields] : section_of(items, "routes")) {
        count += leads_to(fields, service) ? 1 : 0;
    }
    return count_text(count, "route") + " to this service";
}

std::string keys_of_organisation(item_set const& items, std::string const& organisation) {
    auto const& keys = section_of(items, "keys");
    auto const count = std::ranges::count_if(keys, [&organisation](auto const& key) {
        return text_field(key.second, "organisation") == organisation;
    });
    return "callers with its " + count_text(static_cast<std::size_t>(count), "key");
}

/// Whom an item of the configuration concerns.
std::string affected_by(item_set const& items, std::string const& section, std::string const& name) {
    auto const& fields = section_of(items, section).at(name);
    if (section == "routes") {
        return callers_of_route(fields);
    }
    if (section == "services") {
        return routes_to_service(items, name);
    }
    if (section == "organisations") {
        return keys_of_organisation(items, name);
    }
    if (section == "keys") {
        return "callers of organisation '" + text_field(fields, "organisation") + "' with this key";
    }
    return section == "failure_domains" ? "every limited organisation in this domain" : "";
}

} // namespace

std::string to_display_text(located_value const& value) {
    struct visitor {
        std::string operator()(double number) const {
            std::ostringstream stream;
            stream << std::setprecision(number_digits) << number;
            return stream.str();
        }
        std::string operator()(bool boolean) const { return boolean ? "true" : "false"; }
        std::string operator()(std::string const& content) const { return "\"" + content + "\""; }
        std::string operator()(std::vector<std::string> const&) const { return "[...]"; }
    };
    return std::visit(visitor{}, value.value);
}

std::string_view name_of(finding_severity value) {
    static constexpr std::array<std::string_view, 3> names{"error", "warning", "note"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view name_of(configuration_difference::kind value) {
    static constexpr std::array<std::string_view, 3> names{"added", "removed", "changed"};
    return names.at(static_cast<std::size_t>(value));
}

configuration_review review_files(std::vector<std::filesystem::path> const& files) {
    configuration_review review;
    auto const add_error = [&review](problem const& cause, std::filesystem::path const& file) {
        auto entry = error_of(cause, {});
        entry.file = entry.file.empty() ? file.string() : entry.file;
        review.findings.push_back(std::move(entry));
        return false;
    };
    auto const read = [&](std::filesystem::path const& file) {
        std::vector<problem> mistakes;
        attempt_or(
            [&]() -> result<bool> {
                BOOST_LEAF_CHECK(read_toml_file(file, file_layout::named_items, configuration_schema(),
                                                review.items, &mistakes));
                return true;
            },
            [&](problem const& cause) { return add_error(cause, file); });
        for (auto const& mistake : mistakes) {
            add_error(mistake, file);
        }
    };
    for (auto const& file : files) {
        std::error_code ignored;
        if (!std::filesystem::is_directory(file, ignored)) {
            read(file);
            continue;
        }
        attempt_or(
            [&]() -> result<bool> {
                BOOST_LEAF_AUTO(members, list_configuration_folder(file));
                std::ranges::for_each(members, read);
                return true;
            },
            [&](problem const& cause) { return add_error(cause, file); });
    }
    if (review.findings.empty()) {
        review_read_items(review);
    }
    sort_findings(review.findings);
    return review;
}

configuration_review review_items(item_set items) {
    configuration_review review{.items = std::move(items)};
    review_read_items(review);
    sort_findings(review.findings);
    return review;
}

std::vector<finding> review_capacities(item_set const& items,
                                       std::map<std::string, service_capacity> const& capacities) {
    std::vector<finding> findings;
    double carried = 0;
    bool all_known = true;
    for (auto const& [service, fields] : section_of(items, "services")) {
        auto const known = capacities.find(service);
        bool const is_entered =
            std::ranges::any_of(section_of(items, "routes"), [&service = service](auto const& route) {
                return leads_to(route.second, service);
            });
        if (known == capacities.end()) {
            all_known = all_known && !is_entered;
            continue;
        }
        carried += is_entered ? known->second.requests_per_second : 0;
        auto const cold_rate = number_or(fields, "cold_rate", 0);
        if (cold_rate > known->second.requests_per_second_and_target) {
            findings.push_back(finding_at(finding_severity::warning, items, "services", service, "cold_rate",
                                          "The cold rate is above what a target carries now, " +
                                              rate_text(known->second.requests_per_second_and_target) +
                                              ", so that it holds nothing."));
        }
    }
    for (auto const& [name, fields] : section_of(items, "organisations")) {
        if (all_known && number_or(fields, "rate", 0) > carried) {
            findings.push_back(finding_at(finding_severity::warning, items, "organisations", name, "rate",
                                          "The rate is above what all services that routes lead to carry "
                                          "now together, " +
                                              rate_text(carried) + "."));
        }
    }
    sort_findings(findings);
    return findings;
}

std::vector<configuration_difference> compare_items(item_set const& current, item_set const& wanted) {
    std::vector<configuration_difference> differences;
    for (auto const& [section, wanted_items] : wanted) {
        auto const& current_items = section_of(current, section);
        for (auto const& [name, fields] : wanted_items) {
            auto const known = current_items.find(name);
            auto const affected = affected_by(wanted, section, name);
            if (known != current_items.end()) {
                add_item_fields(differences, section + "." + name, affected, known->second, fields);
                continue;
            }
            located_value const place = fields.empty() ? located_value{} : fields.begin()->second;
            differences.push_back({.change = configuration_difference::kind::added,
                                   .key = section + "." + name,
                                   .affected = affected,
                                   .file = place.file,
                                   .line = place.line});
        }
    }
    for (auto const& [section, current_items] : current) {
        for (auto const& [name, fields] : current_items) {
            if (!section_of(wanted, section).contains(name)) {
                differences.push_back({.change = configuration_difference::kind::removed,
                                       .key = section + "." + name,
                                       .affected = affected_by(current, section, name)});
            }
        }
    }
    return differences;
}

} // namespace caraway
