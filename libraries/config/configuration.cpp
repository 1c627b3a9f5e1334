#include "config/configuration.hpp"

#include "config/mistake_collection.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <map>
#include <optional>
#include <tuple>

namespace caraway {

namespace {

constexpr double weight_tolerance = 1e-6;

constexpr std::array<std::string_view, priority_class_count> priority_names{"critical", "normal",
                                                                            "background"};

constexpr std::array<std::string_view, 7> http_methods{"GET",   "HEAD",   "POST",   "PUT",
                                                       "PATCH", "DELETE", "OPTIONS"};

std::optional<priority_class> parse_priority_class(std::string const& name) {
    auto const* found = std::ranges::find(priority_names, name);
    if (found == priority_names.end()) {
        return std::nullopt;
    }
    return static_cast<priority_class>(found - priority_names.begin());
}

double number_or(field_map const& fields, std::string const& name, double fallback) {
    auto const* found = find_field(fields, name);
    return found == nullptr ? fallback : std::get<double>(found->value);
}

bool boolean_or(field_map const& fields, std::string const& name, bool fallback) {
    auto const* found = find_field(fields, name);
    return found == nullptr ? fallback : std::get<bool>(found->value);
}

std::string text_or(field_map const& fields, std::string const& name, std::string fallback) {
    auto const* found = find_field(fields, name);
    return found == nullptr ? std::move(fallback) : std::get<std::string>(found->value);
}

auto fail_at(result_code code, std::string message, field_map const& fields, std::string const& name) {
    auto const* place = find_field(fields, name);
    return fail(
        {code, std::move(message), place == nullptr ? "" : place->file, place == nullptr ? 0 : place->line});
}

/// Of two conflicting items, the error is reported for the one in the later file or line.
bool is_defined_later(field_map const& left, field_map const& right) {
    auto const place = [](field_map const& fields) {
        return fields.empty() ? std::pair<std::string, int>{}
                              : std::pair(fields.begin()->second.file, fields.begin()->second.line);
    };
    return place(left) > place(right);
}

auto fail_duplicate(std::string const& section, item_map const& all, std::string const& left,
                    std::string const& right, std::string const& what, std::string const& field_name) {
    bool const left_is_later = is_defined_later(all.at(left), all.at(right));
    auto const& later = left_is_later ? left : right;
    auto const& earlier = left_is_later ? right : left;
    return fail_at(result_code::configuration_duplicate,
                   "'" + section + "." + later + "' has the same " + what + " as '" + section + "." +
                       earlier + "'.",
                   all.at(later), field_name);
}

item_map const& section_of(item_set const& items, std::string const& section) {
    static item_map const empty;
    auto const found = items.find(section);
    return found == items.end() ? empty : found->second;
}

bool is_hexadecimal(std::string const& text) {
    return std::ranges::all_of(
        text, [](char digit) { return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f'); });
}

bool path_matches(std::string_view prefix, std::string_view path) {
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

/// Parses "SERVICE=WEIGHT,..."; returns an empty list when any part is malformed.
std::vector<split_part> parse_split(std::string const& text) {
    std::vector<split_part> parts;
    std::size_t begin = 0;
    while (begin < text.size()) {
        auto const end = std::min(text.find(',', begin), text.size());
        auto const equals = text.find('=', begin);
        double weight = -1;
        if (equals < end) {
            std::from_chars(text.data() + equals + 1, text.data() + end, weight);
        }
        if (!(weight >= 0) || equals == begin) {
            return {};
        }
        parts.push_back({text.substr(begin, equals - begin), weight});
        begin = end + 1;
    }
    return parts;
}

} // namespace

std::string_view name_of(priority_class value) {
    return priority_names.at(static_cast<std::size_t>(value));
}

result<std::shared_ptr<configuration const>> configuration::create(item_set const& items,
                                                                   std::uint64_t revision) {
    BOOST_LEAF_CHECK(check_required(configuration_schema(), items));
    auto built = std::make_shared<configuration>();
    built->revision_number = revision;
    BOOST_LEAF_CHECK(built->add_all(items, nullptr));
    return std::shared_ptr<configuration const>(std::move(built));
}

std::vector<problem> configuration::find_mistakes(item_set const& items) {
    std::vector<problem> mistakes;
    // With a place for mistakes none of these steps fails.
    (void)check_required(configuration_schema(), items, &mistakes);
    if (mistakes.empty()) {
        configuration built;
        (void)built.add_all(items, &mistakes);
    }
    return mistakes;
}

result<void> configuration::add_all(item_set const& items, std::vector<problem>* mistakes) {
    BOOST_LEAF_CHECK(this->add_organisations(items, mistakes));
    BOOST_LEAF_CHECK(this->add_keys(items, mistakes));
    BOOST_LEAF_CHECK(this->add_services(items));
    BOOST_LEAF_CHECK(this->add_routes(items, mistakes));
    return collect_or_fail(mistakes, [&] { return this->add_domains(items); });
}

result<void> configuration::add_organisations(item_set const& items, std::vector<problem>* mistakes) {
    for (auto const& entry : section_of(items, "organisations")) {
        auto const& name = entry.first;
        auto const& fields = entry.second;
        this->organisation_table[name] = {name, number_or(fields, "rate", 0), number_or(fields, "burst", 1),
                                          number_or(fields, "weight", 1)};
        BOOST_LEAF_CHECK(collect_or_fail(mistakes, [&]() -> result<void> {
            if (fields.contains("rate") && !fields.contains("burst")) {
                return fail_at(result_code::configuration_missing,
                               "'organisations." + name + "' has no 'burst'.", fields, "rate");
            }
            return {};
        }));
    }
    return {};
}

result<void> configuration::add_keys(item_set const& items, std::vector<problem>* mistakes) {
    std::unordered_map<std::string, std::string> names;
    auto const add_key = [&](std::string const& name, field_map const& fields) -> result<void> {
        auto const hash = text_or(fields, "sha256", "");
        auto const owner = text_or(fields, "organisation", "");
        if (!is_hexadecimal(hash)) {
            return fail_at(result_code::configuration_out_of_bounds,
                           "'keys." + name + ".sha256' must be lower-case hexadecimal digits.", fields,
                           "sha256");
        }
        if (!this->organisation_table.contains(owner)) {
            return fail_at(result_code::configuration_reference,
                           "'keys." + name + "' names the organisation '" + owner +
                               "', which is not defined.",
                           fields, "organisation");
        }
        auto const [other, inserted] = names.emplace(hash, name);
        if (!inserted) {
            return fail_duplicate("keys", section_of(items, "keys"), name, other->second, "hash", "sha256");
        }
        this->key_table[hash] = owner;
        return {};
    };
    for (auto const& entry : section_of(items, "keys")) {
        BOOST_LEAF_CHECK(collect_or_fail(mistakes, [&] { return add_key(entry.first, entry.second); }));
    }
    return {};
}

result<void> configuration::add_services(item_set const& items) {
    for (auto const& [name, fields] : section_of(items, "services")) {
        this->service_table[name] = {name,
                                     static_cast<int>(number_or(fields, "slots", 0)),
                                     static_cast<int>(number_or(fields, "connections", 1)),
                                     number_or(fields, "cold_rate", 0),
                                     number_or(fields, "cold_ms", 0),
                                     text_or(fields, "health_path", "")};
    }
    return {};
}

result<void> configuration::check_route(route const& entry, field_map const& fields) const {
    bool const method_is_known =
        entry.method.empty() || std::ranges::find(http_methods, entry.method) != http_methods.end();
    if (!method_is_known || !entry.path.starts_with('/')) {
        return fail_at(result_code::configuration_out_of_bounds,
                       "'routes." + entry.name +
                           "' needs an HTTP method in capitals and a path that begins with '/'.",
                       fields, "method");
    }
    if (entry.service.empty()) {
        return fail_at(result_code::configuration_missing,
                       "'routes." + entry.name + "' has neither 'service' nor a well-formed 'split'.", fields,
                       "path");
    }
    if (!this->service_table.contains(entry.service)) {
        return fail_at(result_code::configuration_reference,
                       "'routes." + entry.name + "' names the service '" + entry.service +
                           "', which is not defined.",
                       fields, "service");
    }
    for (auto const& part : entry.split) {
        if (!this->service_table.contains(part.service)) {
            return fail_at(result_code::configuration_reference,
                           "'routes." + entry.name + "' names the service '" + part.service +
                               "', which is not defined.",
                           fields, "split");
        }
    }
    return {};
}

result<void> configuration::add_routes(item_set const& items, std::vector<problem>* mistakes) {
    std::map<std::tuple<std::string, std::string, std::string>, std::string> seen;
    auto const add_route = [&](std::string const& name, field_map const& fields) -> result<void> {
        route entry{.name = name,
                    .method = text_or(fields, "method", ""),
                    .authority = text_or(fields, "authority", ""),
                    .path = text_or(fields, "path", ""),
                    .service = text_or(fields, "service", ""),
                    .split = parse_split(text_or(fields, "split", "")),
                    .requires_ticket = boolean_or(fields, "tickets", true),
                    .latency_objective_ms = number_or(fields, "latency_objective_ms", 0),
                    .idempotent = boolean_or(fields, "idempotent", true),
                    .allows_anonymous = boolean_or(fields, "open", false),
                    .retry_allowance = static_cast<int>(number_or(fields, "retry_allowance", 2)),
                    .deadline_ms = number_or(fields, "deadline_ms", 5000)};
        auto const priority = parse_priority_class(text_or(fields, "class", "normal"));
        if (!priority) {
            return fail_at(result_code::configuration_out_of_bounds,
                           "'routes." + name + ".class' must be critical, normal or background.", fields,
                           "class");
        }
        entry.priority = *priority;
        if (!entry.split.empty()) {
            entry.service = entry.split.front().service;
        }
        BOOST_LEAF_CHECK(this->check_route(entry, fields));
        auto const [other, inserted] =
            seen.emplace(std::tuple{entry.authority, entry.method, entry.path}, name);
        if (!inserted) {
            return fail_duplicate("routes", section_of(items, "routes"), name, other->second,
                                  "method and path", "path");
        }
        this->route_list.push_back(std::move(entry));
        return {};
    };
    for (auto const& entry : section_of(items, "routes")) {
        BOOST_LEAF_CHECK(collect_or_fail(mistakes, [&] { return add_route(entry.first, entry.second); }));
    }
    std::ranges::stable_sort(this->route_list, std::greater{},
                             [](route const& entry) { return entry.path.size(); });
    this->index_routes();
    return {};
}

void configuration::index_routes() {
    for (std::size_t index = 0; index < this->route_list.size(); ++index) {
        this->routes_by_authority[this->route_list[index].authority].push_back(index);
    }
}

result<void> configuration::add_domains(item_set const& items) {
    double total = 0;
    double previous_total = 0;
    for (auto const& [name, fields] : section_of(items, "failure_domains")) {
        auto const weight = number_or(fields, "weight", 0);
        auto const previous = number_or(fields, "previous_weight", weight);
        this->domain_table[name] = {name, weight, std::min(weight, previous)};
        total += weight;
        previous_total += previous;
    }
    if (this->domain_table.empty()) {
        // The weights then follow from the host list: each domain gets its part of the listed hosts.
        return {};
    }
    if (std::abs(total - 1) > weight_tolerance || previous_total > 1 + weight_tolerance) {
        auto const& domains = section_of(items, "failure_domains");
        return fail_at(
            result_code::configuration_out_of_bounds,
            "The weights of all failure domains must sum to 1, the previous ones to at most 1; they sum to " +
                std::to_string(total) + " and " + std::to_string(previous_total) + ".",
            domains.empty() ? field_map{} : domains.begin()->second, "weight");
    }
    return {};
}

organisation const* configuration::find_organisation_by_key(std::string const& key_sha256) const {
    auto const found = this->key_table.find(key_sha256);
    return found == this->key_table.end() ? nullptr : this->find_organisation(found->second);
}

organisation const* configuration::find_organisation(std::string const& name) const {
    auto const found = this->organisation_table.find(name);
    return found == this->organisation_table.end() ? nullptr : &found->second;
}

service const* configuration::find_service(std::string const& name) const {
    auto const found = this->service_table.find(name);
    return found == this->service_table.end() ? nullptr : &found->second;
}

route const* configuration::find_route(std::string_view method, std::string_view authority,
                                       std::string_view target) const {
    auto const path = target.substr(0, target.find('?'));
    route const* longest = nullptr;
    for (auto const name : {authority.substr(0, authority.find(':')), std::string_view{}}) {
        auto const positions = this->routes_by_authority.find(std::string(name));
        if (positions == this->routes_by_authority.end()) {
            continue;
        }
        for (auto const position : positions->second) {
            auto const& entry = this->route_list[position];
            bool const matches =
                (entry.method.empty() || entry.method == method) && path_matches(entry.path, path);
            if (matches && (longest == nullptr || entry.path.size() > longest->path.size())) {
                longest = &entry;
            }
            if (matches) {
                break;
            }
        }
    }
    return longest;
}

route const* configuration::find_route_by_name(std::string_view name) const {
    auto const found = std::ranges::find(this->route_list, name, &route::name);
    return found == this->route_list.end() ? nullptr : &*found;
}

} // namespace caraway
