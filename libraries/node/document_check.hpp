/// The whole check of a published document, which costs too much for the deciding thread.
#pragma once

#include "node/core_event.hpp"
#include "node/effects.hpp"

namespace caraway {

/// Checks what the core asked for; a document that is refused comes back with the reason.
document_checked_event check_document(document_check_request const& request);

} // namespace caraway
