/// The settings of one node, read once at start from a TOML file.
#pragma once

#include "config/item_set.hpp"

#include <optional>
#include <string>
#include <vector>

namespace caraway {

/// An IP number and a TCP port.
struct endpoint {
    std::string address;
    std::uint16_t port{0};

    std::string text() const { return this->address + ":" + std::to_string(this->port); }
};

/// Reads "IP:PORT".
result<endpoint> parse_endpoint(std::string const& text);

/// What decides about overload; all but `full` are baselines for experiments.
enum class control_mode : std::uint8_t { full, per_host, off };

std::string_view name_of(control_mode value);

/// A peer that is known before any host list was read.
struct seed_peer {
    std::string host;
    std::string failure_domain;
    std::string service;
    std::string link; ///< IP:PORT.
};

/// How a call of the own target is matched with the request it is made for.
enum class call_correlation : std::uint8_t {
    token,    ///< The target shows the token it was given.
    deadline, ///< No token comes: a call ends when the request it is made for ends, which hints at that one.
};

struct settings {
    std::string host;
    std::string failure_domain;
    std::string service;
    endpoint callers;
    std::optional<endpoint> egress; ///< Without one the own target calls through the callers' address.
    endpoint link;
    endpoint operators;
    endpoint target;
    std::optional<endpoint> readiness; ///< Answers only whether the node takes new work; empty: not opened.
    std::string platform_interface{"documents"};
    std::string platform_url;
    std::string platform_parameters; ///< What the platform publishes of itself; read by the interface.
    std::string fleet_secret;
    std::vector<seed_peer> peers;
    std::size_t max_body{1'048'576};
    std::size_t max_header{16'384};
    std::size_t max_connections{4096};
    std::size_t max_requests{8192};
    double idle_timeout_ms{30'000};
    std::size_t max_pipeline{1};
    double drain_ms{60'000};     ///< The longest time from the order to leave until the process ends.
    std::uint8_t rate_shards{4}; ///< Pools into which a failure domain's part of each rate is split.
    call_correlation egress_correlation{call_correlation::token};
    control_mode mode{control_mode::full};
    std::string log_level{"info"};
    int span_file_descriptor{-1}; ///< -1 when spans are not written.
    std::string span_url;

    bool exports_spans() const { return this->span_file_descriptor >= 0 || !this->span_url.empty(); }
};

/// Reads and checks a settings file; `path` is named in problems.
result<settings> read_settings(std::string const& path);

} // namespace caraway
