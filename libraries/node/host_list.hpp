/// The published list of hosts, and its cut into values for spreading.
#pragma once

#include "config/bundle.hpp"

#include <string>
#include <vector>

namespace caraway {

struct listed_host {
    std::string host;
    std::string failure_domain;
    std::string service;
    std::string link; ///< IP:PORT.
    bool leaving{false};
    std::string instance; ///< Names this start of the target; empty when the list does not tell.
    int slots{0};         ///< Requests that its target runs at once; 0 when the list does not tell.
    /// How long the target was still cold when the entry was written.
    /// FIXME: Give a cold target less work than the chooser's own slow start does.
    double warm_up_ms{0};
    /// The platform no longer names the host, but its entry may only have expired while the platform was
    /// away. Such a host stays where it is in force and comes back nowhere else.
    bool unconfirmed{false};

    bool operator==(listed_host const&) const = default;
};

struct host_list {
    std::uint64_t revision{0};
    std::vector<listed_host> hosts;
};

/// Reads the platform's JSON: {"revision":"N","hosts":[{"host":..,"failure_domain":..,"service":..,"link":..,
/// "state":"live"|"leaving"}]}. Further fields that a platform may tell have the names of `listed_host`.
result<host_list> parse_host_list(std::string const& text);

/// The hosts that come into force with a list: all that it confirms, and of the others those that are in
/// force already. A node without a list yet takes all.
std::vector<listed_host> merge_host_list(std::vector<listed_host> const& in_force, host_list const& newer);

/// The inverse.
std::string host_list_to_json(host_list const& list);

/// The same text for the same hosts everywhere, cut by a hash of the host's name.
bundle make_host_list_bundle(host_list const& list);

/// The inverse; fails when a value is missing or damaged.
result<host_list> compile_host_list(bundle const& published);

} // namespace caraway
