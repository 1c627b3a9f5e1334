/// The events that `node_core` handles, in the order in which they were pushed to its thread.
#pragma once

#include "http/http_listener.hpp"
#include "http/target_client.hpp"
#include "link/link_event.hpp"
#include "node/host_list.hpp"
#include "node/node_context.hpp"

#include <variant>

namespace caraway {

/// A caller, or the own target, disconnected before its request was answered.
struct disconnect_event {
    listener_side side{listener_side::callers};
    std::uint64_t id{0}; ///< Of the request at its listener.
};

/// A complete document was read from the platform.
struct platform_document_event {
    document_kind document{document_kind::configuration};
    bundle content;
};

/// Whether the platform serves this host has changed.
struct platform_service_event {
    bool is_served{true};
};

/// A document was checked. When it was accepted, the member that belongs to its kind is set.
struct document_checked_event {
    document_kind document{document_kind::configuration};
    std::uint64_t revision{0};
    configuration_pointer configuration;
    std::shared_ptr<host_list const> hosts;
    std::string refusal; ///< The reason why it was refused; empty when it was accepted.
    duration took;       ///< How long the check lasted.
};

/// The state chart entered another phase.
struct phase_event {
    node_phase phase{node_phase::starting};
};

using core_event =
    std::variant<listener_request, disconnect_event, target_answer, link_event, platform_document_event,
                 platform_service_event, document_checked_event, phase_event>;

} // namespace caraway
