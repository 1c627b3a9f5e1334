#include "node/document_check.hpp"

namespace caraway {

document_checked_event check_document(document_check_request const& request) {
    auto const began = monotonic_clock::now();
    document_checked_event event{.document = request.document, .revision = request.revision};
    attempt_or(
        [&]() -> result<bool> {
            if (request.document == document_kind::configuration) {
                BOOST_LEAF_ASSIGN(event.configuration, compile_bundle(request.content));
            } else {
                BOOST_LEAF_AUTO(list, parse_host_list_bundle(request.content));
                event.hosts = std::make_shared<host_list const>(std::move(list));
            }
            return true;
        },
        [&](problem const& cause) {
            event.refusal = to_text(cause);
            return false;
        });
    event.took = monotonic_clock::now() - began;
    return event;
}

} // namespace caraway
