/// What happens to the deciding duty, in the order of its ring.
#pragma once

#include "http/door.hpp"
#include "http/target_client.hpp"
#include "link/link_event.hpp"
#include "node/host_list.hpp"
#include "node/node_context.hpp"

#include <variant>

namespace caraway {

struct disconnect_event {
    door_side side{door_side::callers};
    std::uint64_t id{0};
};

/// The platform served a whole document.
struct platform_document_event {
    document_kind document{document_kind::configuration};
    bundle content;
};

/// A document was checked; the part that belongs to its kind is set when it was accepted.
struct document_checked_event {
    document_kind document{document_kind::configuration};
    std::uint64_t revision{0};
    configuration_pointer configuration;
    std::shared_ptr<host_list const> hosts;
    std::string refusal; ///< Why it was refused; empty when it was not.
};

/// The state chart entered another phase.
struct phase_event {
    node_phase phase{node_phase::starting};
};

using core_event = std::variant<door_request, disconnect_event, target_answer, link_event,
                                platform_document_event, document_checked_event, phase_event>;

} // namespace caraway
