#include "base/result_code.hpp"

#include <algorithm>
#include <array>
#include <cassert>

namespace caraway {

namespace {

using enum result_code;

constexpr auto table = std::to_array<result_code_entry>({
    {ok, 200, "ok", "The target answered.", "Nothing to do."},
    {key_missing, 401, "key_missing", "The route needs a key and none came.",
     "Send the key as 'Authorization: Bearer KEY'."},
    {key_unknown, 401, "key_unknown", "The key is not, or no longer, valid.",
     "Ask the operator for a key; check that it was not withdrawn."},
    {route_unknown, 404, "route_unknown", "No route has this method and path.",
     "Compare with the routes that 'carawayctl show' lists."},
    {request_malformed, 400, "request_malformed", "The HTTP request could not be read.",
     "Send well-formed HTTP/1.1 with one Content-Length."},
    {body_too_large, 413, "body_too_large", "The body is over the limit.", "Send a smaller body."},
    {header_too_large, 431, "header_too_large", "The header is over the limit.", "Send a smaller header."},
    {ticket_required, 428, "ticket_required",
     "A non-idempotent request came without a ticket; it was not run.",
     "Send it again with the ticket from this answer as Idempotency-Key."},
    {ticket_invalid, 400, "ticket_invalid",
     "The ticket is damaged or belongs to another route or organisation.",
     "Use the ticket unchanged, on the route it was given for."},
    {context_unknown, 403, "context_unknown", "The context token belongs to no live request.",
     "Pass on the token of the request being served; check whether its deadline is past."},
    {rate_exceeded, 429, "rate_exceeded", "The organisation is over its rate and burst.",
     "Wait for the time in Retry-After."},
    {overloaded, 503, "overloaded", "A service on the way can't carry this request now.",
     "Wait for the time in Retry-After; look for the service with the lowest admission in 'status'."},
    {queue_timeout, 503, "queue_timeout", "The request waited too long for a slot of its target.",
     "Wait for the time in Retry-After."},
    {node_busy, 503, "node_busy", "The node's own bounds are reached.",
     "Send it through another node; check the node's load."},
    {quarantined, 503, "quarantined", "Requests like this one have crashed targets.",
     "Look at 'quarantine' in 'status'; mend the service before sending it again."},
    {retry_budget_spent, 503, "retry_budget_spent", "The organisation's retry budget is spent.",
     "Send fewer retries; first tries are still served."},
    {no_target, 503, "no_target", "No host of the service can be reached from here.",
     "Check the host list and the service's hosts."},
    {target_unreachable, 503, "target_unreachable", "The target refused the connection; nothing was sent.",
     "Check the target on that host."},
    {target_crashed, 502, "target_crashed", "The target closed the connection before it answered.",
     "Check the target's own log; don't resend unless the route is idempotent."},
    {target_malformed, 502, "target_malformed", "The target's answer could not be read.",
     "Check the target's answer and the answer limit."},
    {peer_lost, 502, "peer_lost", "The executing host stopped answering.", "Resend with the same ticket."},
    {leaving, 503, "leaving", "The host takes no new work because it is leaving.",
     "Send it through another node."},
    {not_ready, 503, "not_ready", "The node has no configuration in force yet.",
     "Wait until /ready answers 200; check peers and platform."},
    {incarnation_gone, 409, "incarnation_gone", "The host that the ticket names has restarted or left.",
     "The request may have run: find out from the service before sending it anew."},
    {ticket_expired, 409, "ticket_expired", "The ticket is older than the host remembers.",
     "The request may have run: find out from the service before sending it anew."},
    {ticket_spent, 409, "ticket_spent", "The ticket was used; its answer is no longer kept.",
     "The request may have run: find out from the service before sending it anew."},
    {ticket_store_full, 503, "ticket_store_full", "The host can't remember one more ticket.",
     "Resend later with the same ticket."},
    {deadline_passed, 504, "deadline_passed", "The deadline passed before an answer came.",
     "Look at the outcome: only 'not-run' is safe to send anew."},
    {cancelled, 499, "cancelled", "The caller hung up.", "Nothing to do."},
    {answer_dropped, 502, "answer_dropped", "The request ran, but its answer was too large to pass on.",
     "Look up the result at the service."},
    {target_refused, 503, "target_refused", "The target states that it did not run the request.",
     "Wait for the time in Retry-After; compare the target's slots with what it is sent."},
    {target_replaced, 503, "target_replaced", "Another start of the target has the address; nothing was run.",
     "Wait for the time in Retry-After; the host list will name the new one."},
    {answer_lost, 502, "answer_lost",
     "The target closed the connection before it answered, and still takes new ones.",
     "The request may have run; don't resend unless the route is idempotent."},
    {target_limited, 503, "target_limited",
     "The target has stated how many requests per second it accepts, and others use these up; nothing was "
     "run.",
     "Wait for the time in Retry-After; look for 'rate_limit' of the host's target in 'status'."},
    {domain_evacuated, 503, "domain_evacuated",
     "The operator has evacuated the failure domain of every host that could run it; nothing was run.",
     "Wait for the time in Retry-After; look at 'evacuated_domains' in 'status'."},
    {target_cold, 503, "target_cold",
     "The target has just started or may be cold, and others use up what it bears meanwhile; nothing was "
     "run.",
     "Wait for the time in Retry-After; look for 'cold_ms' of the host's target in 'status'."},
    {passed_on, 503, "passed_on",
     "The host had a longer queue than another host of the service; nothing was run.",
     "Wait for the time in Retry-After; look for hosts whose 'expected_wait_ms' in 'status' stays high."},
    {host_stopped, 502, "host_stopped",
     "The host that the caller had sent the request to stopped before an answer came.",
     "The request may have run; don't resend unless the route is idempotent."},
    {configuration_syntax, 0, "configuration_syntax", "The file is not well-formed TOML.",
     "Mend the line that the message names."},
    {configuration_unknown_name, 0, "configuration_unknown_name", "No setting has this name.",
     "Compare with docs/CONFIGURATION.md."},
    {configuration_wrong_type, 0, "configuration_wrong_type", "The value has the wrong type.",
     "Give a value of the type that the message names."},
    {configuration_out_of_bounds, 0, "configuration_out_of_bounds", "The value is outside its bounds.",
     "Give a value within the bounds that the message names."},
    {configuration_duplicate, 0, "configuration_duplicate", "The same thing is defined twice.",
     "Remove one of the two."},
    {configuration_missing, 0, "configuration_missing", "A value that has no default is missing.",
     "Add the value that the message names."},
    {configuration_reference, 0, "configuration_reference", "The value names something that is not defined.",
     "Define it, or correct the name."},
    {configuration_too_large, 0, "configuration_too_large",
     "A value is over the platform's bound of one megabyte.", "Split the folder or remove entries."},
    {configuration_unreadable, 0, "configuration_unreadable", "The file or folder can't be read.",
     "Check path and permissions."},
    {configuration_digest, 0, "configuration_digest", "A published value does not match its manifest.",
     "Publish all values of the bundle."},
    {configuration_older, 0, "configuration_older", "The published revision is older than the one in force.",
     "Publish with a higher revision."},
    {link_malformed, 0, "link_malformed", "A message between nodes could not be decoded.",
     "Check that all nodes run versions that fit together."},
    {link_unauthenticated, 0, "link_unauthenticated", "A peer does not hold the fleet secret.",
     "Give all nodes the same fleet_secret; look for strangers on the link port."},
    {link_too_large, 0, "link_too_large", "A message between nodes is over the limit.",
     "Check the body limits of all nodes."},
    {io_failed, 0, "io_failed", "Reading or writing failed.", "See the message of the operating system."},
});

} // namespace

std::span<result_code_entry const> result_codes() {
    return table;
}

result_code_entry const& describe(result_code code) {
    auto const* found = std::ranges::find(table, code, &result_code_entry::code);
    assert(found != table.end());
    return *found;
}

std::optional<result_code> result_code_from_number(std::uint16_t number) {
    auto const* found = std::ranges::find_if(
        table, [number](auto const& entry) { return static_cast<std::uint16_t>(entry.code) == number; });
    if (found == table.end()) {
        return std::nullopt;
    }
    return found->code;
}

std::string_view name_of(outcome value) {
    static constexpr std::array<std::string_view, 4> names{"ran", "not-run", "not-forwarded", "unknown"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace caraway
