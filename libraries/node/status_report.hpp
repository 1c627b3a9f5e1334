/// The status of a node as JSON, for the operators' HTTP server and `carawayctl status`.
#pragma once

#include "node/document_replicator.hpp"
#include "node/executor.hpp"
#include "node/node_context.hpp"

#include <string>

namespace caraway {

struct status_sources {
    node_context const& context;
    executor const& local;
    document_replicator const& replicator;
    std::array<time_point, document_kind_count> const& in_force_since; ///< By document kind.
    bool ready{false};
    bool reads_platform{false};
};

std::string status_to_json(status_sources const& sources, time_point now);

/// The name of a phase as written in lifecycle.scxml and in the status.
std::string_view name_of(node_phase phase);

} // namespace caraway
