/// The full check of a published document, which takes too long for the core thread.
#pragma once

#include "node/core_event.hpp"
#include "node/effects.hpp"

namespace caraway {

/// Checks a document that the core requested; a refused one is returned with the reason.
document_checked_event check_document(document_check_request const& request);

} // namespace caraway
