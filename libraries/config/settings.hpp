/// The settings of one node, read from a TOML file at start and on SIGHUP.
#pragma once

#include "config/item_set.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

/// An IP address and a TCP port.
struct endpoint {
    std::string address;
    std::uint16_t port{0};

    std::string text() const { return this->address + ":" + std::to_string(this->port); }
};

/// Parses "IP:PORT".
result<endpoint> parse_endpoint(std::string const& text);

/// Which overload control is active; all but `full` are baselines for experiments.
enum class control_mode : std::uint8_t { full, per_host, off };

std::string_view name_of(control_mode value);

/// What the executing host of a request is chosen by.
enum class placement_rule : std::uint8_t {
    load, ///< Requests in flight over the limit of the host.
    wait, ///< Expected wait, distance and failures; work that waits may be passed on to another host.
};

/// What admission at entry nodes is decided by.
enum class admission_basis : std::uint8_t {
    count, ///< The fraction of requests that each service admits, by route and organisation.
    cost,  ///< The time that a request takes at each service below its route, and the room there.
};

/// How the requests to a target that has started or recovered rise to its share.
enum class warm_up_rule : std::uint8_t {
    fixed,   ///< Over a fixed time, by entry nodes.
    learned, ///< As its answers show that it bears them, by the host beside the target.
    none,    ///< At once.
};

/// A peer that is known before the first host list is read.
struct seed_peer {
    std::string host;
    std::string failure_domain;
    std::string service;
    std::string link; ///< IP:PORT.
};

/// How a call that the own target makes is matched with the request that it serves.
enum class call_correlation : std::uint8_t {
    token, ///< The target returns the context token that came with the request.
    /// The target returns no token. A call is matched with the request that has nearly the same deadline,
    /// because targets normally pass the deadline on with their calls.
    deadline,
};

struct settings {
    std::string host;
    std::string failure_domain;
    std::vector<std::string> failure_domains; ///< All of the fleet's; empty if not known.
    std::string region; ///< Of the own failure domain; empty if the fleet has one region.
    /// Region of each failure domain; domains that are not named are in the own region.
    std::map<std::string, std::string> domain_regions;
    std::string service;
    endpoint callers;
    std::optional<endpoint> egress; ///< Where the own target sends its calls; if empty, to `callers`.
    endpoint link;
    endpoint operators;
    endpoint target;
    std::optional<endpoint> readiness; ///< Serves only the readiness check; not opened if empty.
    std::string platform_interface{"documents"};
    std::string platform_url;
    std::string platform_parameters; ///< Published by the platform; the platform interface parses them.
    std::string fleet_secret;
    std::vector<seed_peer> peers;
    std::size_t max_body{1'048'576};
    std::size_t max_header{16'384};
    std::size_t max_connections{4096};
    std::size_t max_requests{8192};
    double idle_timeout_ms{30'000};
    double header_timeout_ms{10'000};
    std::size_t memory_mb{256}; ///< That the host gives the process.
    std::size_t max_pipeline{1};
    double drain_ms{60'000};     ///< The longest time from the start of a drain until the process exits.
    std::uint8_t rate_shards{4}; ///< Pools into which a failure domain's part of each rate is split.
    call_correlation egress_correlation{call_correlation::token};
    control_mode mode{control_mode::full};
    placement_rule placement{placement_rule::load};
    admission_basis admission{admission_basis::count};
    warm_up_rule target_warm_up{warm_up_rule::fixed};
    std::string log_level{"info"};
    int span_file_descriptor{-1}; ///< -1 when spans are not written.
    std::string span_url;

    bool exports_spans() const { return this->span_file_descriptor >= 0 || !this->span_url.empty(); }
};

/// Reads and checks a settings file; `path` appears in error messages.
result<settings> read_settings(std::string const& path);

} // namespace caraway
