/// What a node needs from the platform, independent of the platform's protocol.
#pragma once

#include "base/header_field.hpp"
#include "config/bundle.hpp"
#include "config/settings.hpp"
#include "http/http_dialect.hpp"
#include "policy/cold_pace.hpp"
#include "policy/local_rate_share.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>

namespace caraway {

/// What a platform source reports; called on the thread of the Qt event loop.
struct platform_callbacks {
    std::function<void(bundle&&)> on_configuration;
    /// The host list as JSON text (node/host_list.hpp).
    std::function<void(std::string&&)> on_hosts;
    std::function<void(std::string const& reason)> on_failure;
    /// Whether the platform serves this host, at each change: another host then reads in its place.
    std::function<void(bool is_served)> on_service_changed;
    /// An event for the operators' log, with its fields.
    std::function<void(std::string const& event, header_list const& fields)> on_notice;
};

/// Reads and watches the platform. A setting chooses the implementation when the process starts.
class platform_source {
public:
    platform_source() = default;
    virtual ~platform_source() = default;
    platform_source(platform_source const&) = delete;
    platform_source& operator=(platform_source const&) = delete;

    /// Starts or stops watching. Stopping does not cancel a request that is under way.
    virtual void set_active(bool active) = 0;
};

/// Properties of the platform that a node's decisions rely on.
struct platform_traits {
    /// The platform does not serve an older state than it has served before, except after a restore. A
    /// starting node may then use what it reads at once, and replaces it when a peer has something newer.
    bool has_monotonic_reads{false};
    /// How far the platform lets the fleet exceed an organisation's rate limit; not at all by default.
    rate_tolerance quota_tolerance;
    /// How long a higher rate stays in force after a configuration has lowered it.
    duration former_rate_span{0};
    /// How far the platform lets the fleet exceed what a cold target accepts; not at all by default.
    cold_tolerance cold;
    /// How long after the signal to stop the platform kills the process; 0 if it does not say.
    duration stop_grace{0};
};

/// The longest drain, in milliseconds, after which the last answers are sent and the process has ended before
/// the platform kills it; at most the configured one.
inline double drain_time_within(duration stop_grace, double configured_ms) {
    constexpr duration stop_reserve{500};
    constexpr duration shortest_drain{100};
    if (stop_grace <= duration{0}) {
        return configured_ms;
    }
    return std::min(configured_ms, std::max(shortest_drain, stop_grace - stop_reserve).milliseconds);
}

/// Everything that depends on the platform: how it is read, and the HTTP fields of its callers and targets.
struct platform_binding {
    http_dialect dialect;
    platform_traits traits;
    std::function<std::unique_ptr<platform_source>(settings const&, platform_callbacks)> create_source;
};

/// The product's own interface, for platforms that serve documents by name.
platform_binding make_document_binding();

} // namespace caraway
