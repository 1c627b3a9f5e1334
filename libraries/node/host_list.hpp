/// The published list of hosts, and its split into the values of a bundle for replication.
#pragma once

#include "config/bundle.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

class QJsonValue;

namespace caraway {

/// Names of hosts, failure domains and services in a list are not longer; in bytes.
constexpr std::size_t max_listed_name = 200;
/// A target is listed as cold for no longer.
constexpr double max_listed_cold_ms = 600'000;

struct listed_host {
    std::string host;
    std::string failure_domain;
    std::string service;
    std::string link; ///< IP:PORT.
    bool leaving{false};
    std::string instance;        ///< Identifies this incarnation of the target; empty when not listed.
    std::uint64_t started_ms{0}; ///< When the target started, in Unix milliseconds; 0 when not listed.
    int slots{0};                ///< Requests that the target runs concurrently; 0 when not listed.
    /// How much longer the target was cold when the entry was written; `cold_state` uses it.
    double warm_up_ms{0};
    /// The platform no longer lists the host, but its entry may merely have expired while the platform was
    /// unreachable. A node whose current list contains the host with the same instance keeps it; other nodes
    /// don't add it.
    bool unconfirmed{false};

    bool operator==(listed_host const&) const = default;
};

/// A failure domain whose targets get no work until the operator takes the request back.
struct evacuated_domain {
    std::string name;
    std::uint64_t since{0}; ///< Document revision of the operator's request; 0 when not listed.

    bool operator==(evacuated_domain const&) const = default;
};

struct host_list {
    std::uint64_t revision{0};
    std::vector<listed_host> hosts;
    std::vector<evacuated_domain> evacuated_domains;
};

/// The whole number that the value holds exactly; 0 for a missing one. Empty for any other value, also for a
/// number that no JSON reader holds exactly.
std::optional<std::uint64_t> whole_number(QJsonValue const& value);

/// Reads the platform's JSON: {"revision":"N","hosts":[{"host":..,"failure_domain":..,"service":..,"link":..,
/// "state":"live"|"leaving"}],"evacuated_domains":[{"name":..,"since":"N"}]}. Optional fields have the names
/// of the members of `listed_host`; "evacuated_domains" and "since" may be left out.
result<host_list> parse_host_list(std::string const& text);

/// The hosts in force after a newer list: its confirmed hosts, and those of its unconfirmed hosts that are in
/// force already with the same instance. A node that has no list yet uses all of them. A target that is
/// leaving stays so for its whole incarnation.
std::vector<listed_host> merge_host_list(std::vector<listed_host> const& in_force, host_list const& newer);

/// The inverse of `parse_host_list`.
std::string host_list_to_json(host_list const& list);

/// Distributes the hosts over values by a hash of their names, so that a change of one host changes one value
/// only. The same hosts give the same values on every node. Evacuated domains have a value of their own.
bundle make_host_list_bundle(host_list const& list);

/// The inverse of `make_host_list_bundle`; fails when a value is missing or does not match its digest.
result<host_list> parse_host_list_bundle(bundle const& published);

} // namespace caraway
