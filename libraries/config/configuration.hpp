/// The checked configuration of the whole fleet, as one immutable value with a revision.
#pragma once

#include "config/item_set.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace caraway {

/// The order in which requests are shed: background first, critical last.
enum class priority_class : std::uint8_t { critical, normal, background };

inline constexpr std::size_t priority_class_count = 3;

std::string_view name_of(priority_class value);

struct organisation {
    std::string name;
    double rate{0};  ///< Requests per second over the whole fleet.
    double burst{0}; ///< Requests.
    double weight{1};
};

struct service {
    std::string name;
    int slots{1};
    int connections{1};
};

struct route {
    std::string name;
    std::string method;
    std::string path; ///< Prefix in whole segments.
    std::string service;
    bool idempotent{true};
    bool open{false};
    priority_class priority{priority_class::normal};
    int retry_allowance{2};
    double deadline_ms{5000};
};

struct failure_domain {
    std::string name;
    double weight{0};
    /// The smaller of old and new weight while a change is under way; what nodes use.
    double usable_weight{0};
};

/// Immutable once built, so threads share it by shared_ptr.
class configuration {
public:
    /// Checks the items against each other; refuses them whole.
    static result<std::shared_ptr<configuration const>> create(item_set const& items, std::uint64_t revision);

    std::uint64_t revision() const { return this->revision_number; }
    std::unordered_map<std::string, organisation> const& organisations() const {
        return this->organisation_table;
    }
    std::unordered_map<std::string, service> const& services() const { return this->service_table; }
    std::vector<route> const& routes() const { return this->route_list; }
    std::unordered_map<std::string, failure_domain> const& failure_domains() const {
        return this->domain_table;
    }
    std::size_t key_count() const { return this->key_table.size(); }

    /// The organisation that owns the key with this hash (64 hexadecimal digits); null when there is none.
    organisation const* find_organisation_by_key(std::string const& key_sha256) const;
    organisation const* find_organisation(std::string const& name) const;
    service const* find_service(std::string const& name) const;

    /// The route with the longest matching path; null when there is none. `target` may carry a query.
    route const* find_route(std::string_view method, std::string_view target) const;
    route const* find_route_by_name(std::string_view name) const;

private:
    result<void> add_organisations(item_set const& items);
    result<void> add_keys(item_set const& items);
    result<void> add_services(item_set const& items);
    result<void> add_routes(item_set const& items);
    result<void> add_domains(item_set const& items);

    std::uint64_t revision_number{0};
    std::unordered_map<std::string, organisation> organisation_table;
    std::unordered_map<std::string, service> service_table;
    std::unordered_map<std::string, std::string> key_table; ///< Hash to organisation name.
    std::unordered_map<std::string, failure_domain> domain_table;
    std::vector<route> route_list;
};

using configuration_pointer = std::shared_ptr<configuration const>;

} // namespace caraway
