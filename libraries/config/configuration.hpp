/// The validated configuration of the whole fleet, as one immutable object with a revision.
#pragma once

#include "config/item_set.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace caraway {

/// Under overload, background requests are rejected first, critical ones last.
enum class priority_class : std::uint8_t { critical, normal, background };

inline constexpr std::size_t priority_class_count = 3;

std::string_view name_of(priority_class value);

struct organisation {
    std::string name;
    double rate{0};  ///< Requests per second over the whole fleet; 0 when unlimited.
    double burst{0}; ///< Requests.
    double weight{1};

    bool is_limited() const { return this->rate > 0; }
};

struct service {
    std::string name;
    int slots{0};       ///< Requests that one target runs at once; 0 when only the host list says it.
    int connections{1}; ///< Most connections to one target, and so also a limit of its slots.
    /// Requests per second that a cold target accepts from all hosts together; 0 when targets are never cold.
    double cold_rate{0};
    double cold_ms{0};       ///< How long a target is cold after it has started, in milliseconds.
    std::string health_path; ///< What a health check asks for; empty when targets answer none.
};

/// One service of a route whose traffic is split by weight.
struct split_part {
    std::string service;
    double weight{0}; ///< Relative to the sum over all parts.
};

struct route {
    std::string name;
    std::string method;            ///< Empty: all methods.
    std::string authority;         ///< Host name in the request; empty: any.
    std::string path;              ///< Prefix, matched in whole segments.
    std::string service;           ///< The first part's service when the route is split.
    std::vector<split_part> split; ///< Empty when one service runs all requests.
    bool requires_ticket{true};    ///< Applies to non-idempotent requests only.
    /// 0 when none is set. FIXME: Order the queue by the time left until the objective, and reject requests
    /// that can't meet it.
    double latency_objective_ms{0};
    bool idempotent{true};
    bool allows_anonymous{false}; ///< Whether requests run without a key.
    priority_class priority{priority_class::normal};
    int retry_allowance{2};
    double deadline_ms{5000};
};

struct failure_domain {
    std::string name;
    double weight{0};
    /// The weight that nodes use: the smaller of the old and the new one while a change is under way.
    double effective_weight{0};
};

/// Immutable once built, so threads share it by shared_ptr.
class configuration {
public:
    /// Checks the items against each other; fails as a whole when any check fails.
    static result<std::shared_ptr<configuration const>> create(item_set const& items, std::uint64_t revision);
    /// Every mistake that `create` would fail for, in place of the first one. Items that lack a required
    /// field are found before the others are checked.
    static std::vector<problem> find_mistakes(item_set const& items);

    std::uint64_t revision() const { return this->revision_number; }
    std::unordered_map<std::string, organisation> const& organisations() const {
        return this->organisation_table;
    }
    std::unordered_map<std::string, service> const& services() const { return this->service_table; }
    std::vector<route> const& routes() const { return this->route_list; }
    /// Empty when the weights follow from the host list.
    std::unordered_map<std::string, failure_domain> const& failure_domains() const {
        return this->domain_table;
    }
    std::size_t key_count() const { return this->key_table.size(); }

    /// The organisation that owns the key with this SHA-256 (64 hexadecimal digits); null when there is none.
    organisation const* find_organisation_by_key(std::string const& key_sha256) const;
    organisation const* find_organisation(std::string const& name) const;
    service const* find_service(std::string const& name) const;

    /// The route with the longest matching path; null when there is none. `authority` is the host name in the
    /// request and may include a port; `target` may include a query.
    route const* find_route(std::string_view method, std::string_view authority,
                            std::string_view target) const;
    route const* find_route_by_name(std::string_view name) const;

private:
    /// The same for all: with `mistakes`, each mistake is added there and the rest is built.
    result<void> add_all(item_set const& items, std::vector<problem>* mistakes);
    result<void> add_organisations(item_set const& items, std::vector<problem>* mistakes);
    result<void> add_keys(item_set const& items, std::vector<problem>* mistakes);
    result<void> add_services(item_set const& items);
    result<void> add_routes(item_set const& items, std::vector<problem>* mistakes);
    result<void> check_route(route const& entry, field_map const& fields) const;
    void index_routes();
    result<void> add_domains(item_set const& items);

    std::uint64_t revision_number{0};
    std::unordered_map<std::string, organisation> organisation_table;
    std::unordered_map<std::string, service> service_table;
    std::unordered_map<std::string, std::string> key_table; ///< SHA-256 of the key to organisation name.
    std::unordered_map<std::string, failure_domain> domain_table;
    std::vector<route> route_list;
    /// Indices into `route_list`, by authority, longest path first.
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_authority;
};

using configuration_pointer = std::shared_ptr<configuration const>;

} // namespace caraway
