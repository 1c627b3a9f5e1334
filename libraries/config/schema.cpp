#include "config/schema.hpp"

#include <array>

namespace caraway {

namespace {

using enum value_type;

constexpr double max_rate = 10'000'000;
constexpr double max_name = 200;

constexpr auto folder_table = std::to_array<field>({
    {"organisations", "rate", number, 0, max_rate, false, "requests/s",
     "Sustained rate over the whole fleet; without one nothing is limited."},
    {"organisations", "burst", number, 1, max_rate, false, "requests",
     "Requests that may come at once; needed beside a rate."},
    {"organisations", "weight", number, 0.001, 1000, false, "", "Share under overload, against the others."},
    {"keys", "organisation", text, 1, max_name, true, "", "Whose key it is."},
    {"keys", "sha256", text, 64, 64, true, "", "SHA-256 of the key, 64 lower-case hexadecimal digits."},
    {"services", "slots", number, 1, 100'000, false, "requests",
     "Most requests at once on one target; the host list may say it for each."},
    {"services", "connections", number, 1, 100'000, true, "connections", "Most connections to one target."},
    {"services", "cold_rate", number, 0, max_rate, false, "requests/s",
     "What a target accepts from all hosts together while it is cold; 0: targets are never cold."},
    {"services", "cold_ms", number, 0, 600'000, false, "ms",
     "How long a target is cold after it has started."},
    {"services", "health_path", text, 1, 1000, false, "",
     "What a health check of a target asks for; without one targets are not asked whether they are cold."},
    {"routes", "method", text, 3, 7, false, "", "HTTP method; all of them if not given."},
    {"routes", "authority", text, 1, max_name, false, "",
     "Host name that callers ask for; any if not given."},
    {"routes", "path", text, 1, 1000, true, "", "Path prefix, matched in whole segments."},
    {"routes", "service", text, 1, max_name, false, "", "The service that runs it."},
    {"routes", "split", text, 3, 1000, false, "SERVICE=WEIGHT,...",
     "Several services in place of one, each with its part of the requests."},
    {"routes", "idempotent", boolean, 0, 0, true, "", "Whether running it twice does no harm."},
    {"routes", "open", boolean, 0, 0, false, "", "Whether it runs without a key."},
    {"routes", "class", text, 1, max_name, false, "", "Priority: critical, normal or background."},
    {"routes", "tickets", boolean, 0, 0, false, "",
     "Whether a non-idempotent request needs a ticket; without one it is sent once, and again only when the "
     "executing host says that it has not run."},
    {"routes", "latency_objective_ms", number, 1, 600'000, false, "ms",
     "An answer after this is worth less to the caller; a lost request is repeated only while its answer can "
     "still come before."},
    {"routes", "retry_allowance", number, 0, 10, false, "attempts",
     "Further attempts for the whole call tree."},
    {"routes", "deadline_ms", number, 1, 600'000, false, "ms", "Longest time a request may take."},
    {"failure_domains", "weight", number, 0, 1, true, "", "Part of every rate and burst; all sum to 1."},
    {"failure_domains", "previous_weight", number, 0, 1, false, "", "The weight before a change under way."},
});

constexpr auto settings_table = std::to_array<field>({
    {"node", "host", text, 1, max_name, true, "", "The host's name in the host list."},
    {"node", "failure_domain", text, 1, max_name, true, "", "The host's failure domain."},
    {"node", "failure_domains", text_list, 0, 1000, false, "",
     "All failure domains, the same on all nodes. With it, small organisations have fewer rate pools."},
    {"node", "region", text, 0, max_name, false, "", "The region of the host's failure domain."},
    {"node", "failure_domain_regions", text_list, 0, 1000, false, "DOMAIN=REGION",
     "The region of each failure domain; a domain that is not named is in the own region."},
    {"node", "service", text, 1, max_name, true, "", "The service that this host's target runs."},
    {"addresses", "callers", text, 3, max_name, true, "IP:PORT", "Where callers connect."},
    {"addresses", "egress", text, 3, max_name, false, "IP:PORT",
     "Where the own target sends its calls; the callers' address if not given."},
    {"addresses", "readiness", text, 3, max_name, false, "IP:PORT",
     "Answers every GET by 200 while the node takes new work, else by 503."},
    {"addresses", "link", text, 3, max_name, true, "IP:PORT", "Where other nodes connect."},
    {"addresses", "operators", text, 3, max_name, true, "IP:PORT", "Health, metrics and status."},
    {"addresses", "target", text, 3, max_name, true, "IP:PORT", "The own target."},
    {"platform", "interface", text, 1, max_name, false, "",
     "What the platform speaks: documents, or a name that platform/ adds."},
    {"platform", "url", text, 8, 1000, true, "", "The platform's read-and-watch service."},
    {"platform", "parameters", text, 0, 10'000, false, "",
     "What the platform publishes of itself, for its interface."},
    {"link", "fleet_secret", text, 16, 1000, true, "", "Shared by all nodes; proves that a peer is one."},
    {"link", "peers", text_list, 0, 1000, false, "HOST=DOMAIN=SERVICE=IP:PORT",
     "Peers known before the host list."},
    {"limits", "max_body", number, 1024, 67'108'864, false, "bytes", "Largest body of a request or answer."},
    {"limits", "max_header", number, 1024, 1'048'576, false, "bytes",
     "Largest header of a request or answer."},
    {"limits", "max_connections", number, 1, 100'000, false, "connections", "Most open caller connections."},
    {"limits", "max_requests", number, 1, 1'000'000, false, "requests", "Most live requests on this node."},
    {"limits", "idle_timeout_ms", number, 10, 3'600'000, false, "ms",
     "Idle or half-read connections are closed."},
    {"limits", "header_timeout_ms", number, 100, 600'000, false, "ms",
     "Connections whose header has not come whole this long after its first byte are closed."},
    {"limits", "memory_mb", number, 16, 1'048'576, false, "MB",
     "Memory that the host gives the process. What it holds for others stays within it."},
    {"limits", "max_pipeline", number, 1, 64, false, "requests",
     "Requests of one connection that are worked on together."},
    {"limits", "drain_ms", number, 100, 3'600'000, false, "ms",
     "Longest time from the order to leave until the process ends."},
    {"control", "call_context", text, 1, max_name, false, "",
     "How the own target's calls are matched with what it serves: token or deadline."},
    {"control", "rate_shards", number, 1, 16, false, "pools",
     "Pools into which a failure domain's part of each rate is split; the same on all nodes."},
    {"control", "admission", text, 1, max_name, false, "",
     "What admission is decided by: count of requests, or cost at each service below the route."},
    {"control", "target_warm_up", text, 1, max_name, false, "",
     "How requests to a target that has started or recovered rise: fixed: over 5 s; learned: as its answers "
     "keep up; none: at once."},
    {"control", "mode", text, 1, max_name, false, "", "full, or for experiments: off, per_host."},
    {"control", "placement", text, 1, max_name, false, "",
     "What hosts are chosen by: load; wait: expected wait and distance; regional: wait in several "
     "regions, else load."},
    {"telemetry", "log_level", text, 1, max_name, false, "", "trace, debug, info, warn or error."},
    {"telemetry", "span_file_descriptor", number, 0, 1023, false, "",
     "Spans as OTLP/JSON lines to this descriptor."},
    {"telemetry", "span_url", text, 8, 1000, false, "", "Spans as OTLP/JSON by POST to this address."},
});

} // namespace

std::string_view name_of(value_type type) {
    static constexpr std::array<std::string_view, 4> names{"a number", "true or false", "a text",
                                                           "a list of texts"};
    return names.at(static_cast<std::size_t>(type));
}

std::span<field const> configuration_schema() {
    return folder_table;
}

std::span<field const> settings_schema() {
    return settings_table;
}

} // namespace caraway
