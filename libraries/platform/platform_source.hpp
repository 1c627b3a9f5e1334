/// What a node needs of the platform, whatever the platform speaks.
#pragma once

#include "config/bundle.hpp"
#include "config/settings.hpp"
#include "http/http_dialect.hpp"
#include "policy/local_rate_share.hpp"

#include <functional>
#include <memory>
#include <string>

namespace caraway {

/// What a platform source reports; called on the control thread.
struct platform_callbacks {
    std::function<void(bundle&&)> on_configuration;
    /// The host list as JSON text (node/host_list.hpp).
    std::function<void(std::string&&)> on_hosts;
    std::function<void(std::string const& reason)> on_failure;
};

/// Reads and watches the platform. The kind is chosen by a setting when the process starts.
class platform_source {
public:
    platform_source() = default;
    virtual ~platform_source() = default;
    platform_source(platform_source const&) = delete;
    platform_source& operator=(platform_source const&) = delete;

    /// Starts or stops watching; a watch under way is left to end by itself.
    virtual void set_active(bool active) = 0;
};

/// What a node's decisions may rely on.
struct platform_traits {
    /// The platform never serves an older state than it served before, so a node that starts need not ask its
    /// peers before it believes it.
    bool has_monotonic_reads{false};
    rate_tolerance quota_tolerance;
};

/// One way to run on a platform: how it is read, and what callers and targets speak on it.
struct platform_binding {
    http_dialect dialect;
    platform_traits traits;
    std::function<std::unique_ptr<platform_source>(settings const&, platform_callbacks)> create_source;
};

/// The product's own interface: documents read and watched by name.
platform_binding make_document_binding();

} // namespace caraway
