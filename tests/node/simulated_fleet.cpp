#include "node/simulated_fleet.hpp"

#include "node/document_check.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace caraway::simulation {

namespace {

constexpr duration step_duration{1};
constexpr duration core_tick_interval{4};
constexpr duration link_delay{1};
/// Between two calls of a host to the platform.
constexpr duration platform_interval{300};
/// A host that the platform turns away is not served any more after this long.
constexpr duration platform_outage{300};
constexpr std::uint16_t link_port = 7000;
constexpr std::string_view health_path = "/health";
constexpr std::string_view egress_prefix = "below-";

std::string link_address(std::string const& host) {
    return host + ":" + std::to_string(link_port);
}

bundle make_bundle_or_throw(item_set const& items, std::uint64_t revision) {
    return attempt_or([&] { return make_bundle(items, revision); },
                      [](problem const& cause) -> bundle { throw std::logic_error(to_text(cause)); });
}

} // namespace

struct simulated_fleet::link_end {
    std::string peer;
    connection_id peer_connection{0};
};

struct simulated_fleet::node {
    settings options;
    fleet_plan::target_service service;
    target_statement statement;
    time_point cold_until;
    std::unique_ptr<node_core> core;
    std::map<connection_id, link_end> links;
    connection_id next_accepted{connection_id{1} << 63U};
    std::map<std::uint64_t, target_request> connecting; ///< Requests that wait for a connection, by id.
    std::map<std::uint64_t, std::size_t> running;       ///< Id of a target request to the index of its run.
    std::set<std::uint64_t> unrepeatable; ///< Those of the running requests that run once at most.
    std::vector<core_event> held_events;  ///< Arrived while the process was paused.
    time_point next_tick;
    time_point paused_since;
    time_point paused_until;
    time_point partitioned_until;
    std::optional<time_point> stops_at;
    time_point next_platform_call;
    std::optional<time_point> turned_away_since; ///< When it was first turned away in a row.
    bool is_served{true};                        ///< By the platform, if it reads.
    bool knows_it_is_served{true};
    std::uint64_t incarnation{0};
    bool serving{false};
    bool crashes_next_run{false};
    std::uint16_t answer_status{200};
};

struct simulated_fleet::delivery {
    std::string host;
    std::uint64_t incarnation{0};
    std::function<void(node&)> action;
};

fleet_plan make_plan(std::vector<fleet_plan::target_service> services) {
    fleet_plan plan{.services = std::move(services)};
    for (auto const& entry : plan.services) {
        plan.configuration["services"][entry.name]["connections"] = {.value = 1000.0};
        for (auto const* kind : {"read", "write"}) {
            auto& route = plan.configuration["routes"][entry.name + "-" + kind];
            route["path"] = {.value = "/" + entry.name + "/" + kind};
            route["service"] = {.value = entry.name};
            route["idempotent"] = {.value = kind == std::string("read")};
            route["tickets"] = {.value = false};
            route["open"] = {.value = true};
            route["class"] = {.value = std::string("normal")};
            route["retry_allowance"] = {.value = 2.0};
            route["deadline_ms"] = {.value = 2000.0};
        }
    }
    return plan;
}

simulated_fleet::simulated_fleet(fleet_plan initial_plan) : plan(std::move(initial_plan)), random(plan.seed) {
    int number = 0;
    for (auto const& service : this->plan.services) {
        for (int index = 0; index < service.hosts; ++index) {
            auto entry = std::make_unique<node>();
            auto const host = "10.0.0." + std::to_string(++number);
            auto const& domain =
                this->plan.domains.at(static_cast<std::size_t>(index) % this->plan.domains.size());
            entry->service = service;
            entry->options.host = host;
            entry->options.failure_domain = domain;
            entry->options.service = service.name;
            entry->options.link = {host, link_port};
            entry->options.fleet_secret = "simulation";
            entry->options.rate_shards = 1;
            entry->options.drain_ms = this->plan.drain_ms;
            entry->options.egress_correlation = this->plan.calls;
            entry->options.placement = this->plan.placement;
            this->list.hosts.push_back({.host = host,
                                        .failure_domain = domain,
                                        .service = service.name,
                                        .link = link_address(host),
                                        .instance = "i-" + std::to_string(number),
                                        .slots = service.slots});
            this->nodes.emplace(host, std::move(entry));
        }
    }
    this->list.revision = this->revision;
    this->configuration = make_bundle_or_throw(this->plan.configuration, this->revision);
    for (auto& [host, entry] : this->nodes) {
        this->start(*entry);
    }
    this->run_for(duration{3000});
}

simulated_fleet::~simulated_fleet() = default;

void simulated_fleet::start(node& entry) {
    entry.incarnation = this->next_incarnation++;
    entry.core = std::make_unique<node_core>(entry.options,
                                             platform_traits{.has_monotonic_reads = true,
                                                             .quota_tolerance = this->plan.tolerance,
                                                             .cold = this->plan.cold},
                                             entry.incarnation, lease_timing{}, this->clock);
    entry.next_tick = this->clock;
    entry.paused_until = {};
    entry.stops_at.reset();
    entry.serving = false;
    this->offer_documents(entry);
}

void simulated_fleet::offer_documents(node& entry) {
    this->handle_event(entry, platform_document_event{document_kind::configuration, this->configuration});
    this->handle_event(entry,
                       platform_document_event{document_kind::hosts, make_host_list_bundle(this->list)});
}

void simulated_fleet::publish_hosts(std::vector<listed_host> hosts) {
    this->list.hosts = std::move(hosts);
    this->offer_hosts();
}

void simulated_fleet::evacuate(std::vector<std::string> const& domains) {
    this->list.evacuated_domains.clear();
    for (auto const& name : domains) {
        this->list.evacuated_domains.push_back({.name = name});
    }
    this->offer_hosts();
}

void simulated_fleet::offer_hosts() {
    this->list.revision = ++this->revision;
    for (auto& [host, entry] : this->nodes) {
        if (entry->core != nullptr && !this->is_partitioned(*entry)) {
            this->handle_event(
                *entry, platform_document_event{document_kind::hosts, make_host_list_bundle(this->list)});
        }
    }
}

void simulated_fleet::serve_from_platform(std::string const& host, bool is_served) {
    this->nodes.at(host)->is_served = is_served;
}

void simulated_fleet::read_platform(node& entry) {
    if (!entry.core->reads_platform()) {
        entry.turned_away_since.reset();
        return;
    }
    if (this->clock < entry.next_platform_call) {
        return;
    }
    entry.next_platform_call = this->clock + platform_interval;
    ++this->platform_call_count;
    if (entry.is_served) {
        entry.turned_away_since.reset();
    } else if (!entry.turned_away_since) {
        entry.turned_away_since = this->clock;
    }
    bool const counts_as_served =
        !entry.turned_away_since || this->clock - *entry.turned_away_since < platform_outage;
    if (std::exchange(entry.knows_it_is_served, counts_as_served) != counts_as_served) {
        this->handle_event(entry, platform_service_event{counts_as_served});
    }
    if (entry.is_served) {
        this->offer_documents(entry);
    }
}

void simulated_fleet::set_service_time(std::string const& host, duration span) {
    this->nodes.at(host)->service.service_time = span;
}

void simulated_fleet::crash_next_run(std::string const& host) {
    this->nodes.at(host)->crashes_next_run = true;
}

void simulated_fleet::set_answer_status(std::string const& host, std::uint16_t status) {
    this->nodes.at(host)->answer_status = status;
}

void simulated_fleet::publish_configuration(item_set const& items) {
    this->configuration = make_bundle_or_throw(items, ++this->revision);
    if (this->platform_is_followed) {
        return;
    }
    for (auto& [host, entry] : this->nodes) {
        if (entry->core != nullptr && !this->is_partitioned(*entry)) {
            this->handle_event(*entry,
                               platform_document_event{document_kind::configuration, this->configuration});
        }
    }
}

void simulated_fleet::handle_event(node& entry, core_event&& event) {
    if (entry.core == nullptr) {
        return;
    }
    if (this->clock < entry.paused_until) {
        entry.held_events.push_back(std::move(event));
        return;
    }
    entry.core->handle(std::move(event), this->clock);
    this->execute_effects(entry);
}

void simulated_fleet::handle_held_events(node& entry) {
    std::vector<std::unique_ptr<core_event>> arrived;
    arrival const late{.read = this->clock, .unread = this->clock - entry.paused_since};
    for (auto& event : std::exchange(entry.held_events, {})) {
        if (auto* request = std::get_if<listener_request>(&event)) {
            request->arrived = late;
        } else if (auto* link = std::get_if<link_event>(&event)) {
            link->arrived = late;
        }
        arrived.push_back(std::make_unique<core_event>(std::move(event)));
    }
    order_arrivals(arrived);
    for (auto& event : arrived) {
        entry.core->take_in(std::move(*event), this->clock);
    }
    while (entry.core->start_next(this->clock)) {
    }
    this->execute_effects(entry);
}

void simulated_fleet::execute_effects(node& entry) {
    auto pending_effects = entry.core->take_effects();
    for (auto const& request : pending_effects.dials) {
        this->dial(entry, request);
    }
    for (auto& message : pending_effects.messages) {
        this->send_message(entry, std::move(message));
    }
    for (auto const connection : pending_effects.closes) {
        this->close(entry, connection);
    }
    for (auto const id : pending_effects.target_cancels) {
        this->cancel_at_target(entry, id);
    }
    for (auto& request : pending_effects.target_requests) {
        this->connect_to_target(entry, std::move(request));
    }
    for (auto& request : pending_effects.document_checks) {
        auto shared = std::make_shared<document_checked_event>(check_document(request));
        this->pending_deliveries.emplace(
            (this->clock + step_duration).milliseconds,
            delivery{entry.options.host, entry.incarnation,
                     [this, shared](node& at) { this->handle_event(at, document_checked_event(*shared)); }});
    }
    this->answer_callers(entry, std::move(pending_effects.caller_answers), false);
    this->answer_callers(entry, std::move(pending_effects.egress_answers), true);
}

duration simulated_fleet::one_way_delay(node const& from, node const& to) const {
    return from.options.failure_domain == to.options.failure_domain ? this->plan.delay_in_domain
                                                                    : this->plan.delay_between_domains;
}

bool simulated_fleet::is_partitioned(node const& entry) const {
    return this->clock < entry.partitioned_until;
}

void simulated_fleet::dial(node& entry, dial_request const& request) {
    auto const dialler = entry.options.host;
    auto const dialler_incarnation = entry.incarnation;
    auto const connection = request.connection;
    for (auto& [host, peer] : this->nodes) {
        bool const is_reachable = link_address(host) == request.address && peer->core != nullptr &&
                                  !this->is_partitioned(entry) && !this->is_partitioned(*peer);
        if (!is_reachable) {
            continue;
        }
        auto const accepted = peer->next_accepted++;
        entry.links[connection] = {host, accepted};
        peer->links[accepted] = {dialler, connection};
        auto const at = this->clock + this->one_way_delay(entry, *peer) + link_delay;
        auto const opened = [this](node& end, connection_id id, bool dialled, std::string const& name,
                                   std::uint64_t incarnation) {
            this->handle_event(end, link_event{.kind = link_event_kind::opened,
                                               .connection = id,
                                               .dialled = dialled,
                                               .peer = {name, incarnation}});
        };
        auto const peer_incarnation = peer->incarnation;
        this->pending_deliveries.emplace(at.milliseconds,
                                         delivery{dialler, dialler_incarnation, [=, name = host](node& end) {
                                                      opened(end, connection, true, name, peer_incarnation);
                                                  }});
        this->pending_deliveries.emplace(at.milliseconds, delivery{host, peer_incarnation, [=](node& end) {
                                                                       opened(end, accepted, false, dialler,
                                                                              dialler_incarnation);
                                                                   }});
        return;
    }
    this->pending_deliveries.emplace((this->clock + link_delay).milliseconds,
                                     delivery{dialler, dialler_incarnation, [this, connection](node& end) {
                                                  this->handle_event(
                                                      end, link_event{.kind = link_event_kind::closed,
                                                                      .connection = connection,
                                                                      .dialled = true});
                                              }});
}

void simulated_fleet::close(node& entry, connection_id connection) {
    auto const found = entry.links.find(connection);
    if (found == entry.links.end()) {
        return;
    }
    auto const end = found->second;
    entry.links.erase(found);
    auto const closed = [this](node& at, connection_id id) {
        at.links.erase(id);
        this->handle_event(at, link_event{.kind = link_event_kind::closed, .connection = id});
    };
    this->pending_deliveries.emplace(
        (this->clock + link_delay).milliseconds,
        delivery{entry.options.host, entry.incarnation, [=](node& at) { closed(at, connection); }});
    auto& peer = *this->nodes.at(end.peer);
    if (peer.core != nullptr && !this->is_partitioned(entry) && !this->is_partitioned(peer)) {
        this->pending_deliveries.emplace(
            (this->clock + this->one_way_delay(entry, peer)).milliseconds,
            delivery{end.peer, peer.incarnation, [=](node& at) { closed(at, end.peer_connection); }});
    }
}

void simulated_fleet::send_message(node& entry, outgoing_message&& outgoing) {
    auto const found = entry.links.find(outgoing.connection);
    if (found == entry.links.end()) {
        return;
    }
    auto const end = found->second;
    auto& peer = *this->nodes.at(end.peer);
    if (peer.core == nullptr || this->is_partitioned(entry) || this->is_partitioned(peer)) {
        return;
    }
    auto shared = std::make_shared<message>(std::move(outgoing.content));
    link_identity const sender{entry.options.host, entry.incarnation};
    this->pending_deliveries.emplace(
        (this->clock + this->one_way_delay(entry, peer)).milliseconds,
        delivery{end.peer, peer.incarnation, [this, end, shared, sender](node& at) {
                     if (at.links.contains(end.peer_connection)) {
                         this->handle_event(at, link_event{.kind = link_event_kind::received,
                                                           .connection = end.peer_connection,
                                                           .peer = sender,
                                                           .content = std::move(*shared)});
                     }
                 }});
}

void simulated_fleet::connect_to_target(node& entry, target_request&& request) {
    if (entry.service.connect_time <= duration{0}) {
        return this->run_at_target(entry, std::move(request));
    }
    auto const id = request.id;
    entry.connecting[id] = std::move(request);
    this->pending_deliveries.emplace((this->clock + entry.service.connect_time).milliseconds,
                                     delivery{entry.options.host, entry.incarnation, [this, id](node& at) {
                                                  if (auto connected = at.connecting.extract(id)) {
                                                      this->run_at_target(at, std::move(connected.mapped()));
                                                  }
                                              }});
}

void simulated_fleet::cancel_at_target(node& entry, std::uint64_t id) {
    if (entry.connecting.erase(id) > 0) {
        return this->handle_event(
            entry, target_answer{.id = id, .result = outcome::not_run, .code = result_code::cancelled});
    }
    if (!entry.unrepeatable.contains(id)) {
        this->end_run(entry, id, true);
    }
}

void simulated_fleet::run_at_target(node& entry, target_request&& request) {
    auto const index = this->target_runs.size();
    this->target_runs.push_back({entry.options.host, request.request_id, request.path, this->clock,
                                 std::nullopt, request.deadline - this->clock});
    entry.running[request.id] = index;
    if (!request.idempotent) {
        entry.unrepeatable.insert(request.id);
    }
    this->peak_over_slots =
        std::max(this->peak_over_slots, static_cast<int>(entry.running.size()) - entry.service.slots);
    if (!entry.service.calls.empty()) {
        auto const id = this->next_request_id++;
        this->runs_waiting_for_call[id] = index;
        auto const host = entry.options.host;
        auto shared = std::make_shared<listener_request>(
            listener_request{.id = id,
                             .side = listener_side::egress,
                             .method = "GET",
                             .path = "/" + entry.service.calls + "/read",
                             .context_token = request.context_token,
                             .request_id = std::string(egress_prefix) + request.request_id,
                             .timeout_ms = (request.deadline - this->clock).milliseconds});
        this->pending_deliveries.emplace((this->clock + step_duration).milliseconds,
                                         delivery{host, entry.incarnation, [this, shared](node& at) {
                                                      this->handle_event(at, listener_request(*shared));
                                                  }});
        return;
    }
    auto const id = request.id;
    this->pending_deliveries.emplace((this->clock + entry.service.service_time).milliseconds,
                                     delivery{entry.options.host, entry.incarnation,
                                              [this, id](node& at) { this->end_run(at, id, false); }});
}

void simulated_fleet::end_run(node& entry, std::uint64_t id, bool cancelled) {
    auto const found = entry.running.find(id);
    if (found == entry.running.end()) {
        return;
    }
    auto const found_index = found->second;
    this->target_runs.at(found_index).ended = this->clock;
    entry.running.erase(found);
    entry.unrepeatable.erase(id);
    std::uniform_real_distribution<double> share(0, 1);
    bool const is_lost = share(this->random) < entry.service.lost_answer_share;
    target_answer answer{.id = id};
    if (cancelled) {
        answer.code = result_code::cancelled;
    } else if (std::exchange(entry.crashes_next_run, false)) {
        answer.code = result_code::target_crashed;
        answer.refuses_connections = true;
    } else if (is_lost) {
        answer.code = result_code::target_crashed;
    } else {
        answer.result = outcome::ran;
        answer.status = entry.answer_status;
        answer.statement = entry.statement;
        if (this->target_runs.at(found_index).path == health_path) {
            answer.statement->cold_ms = std::max(duration{0}, entry.cold_until - this->clock).milliseconds;
        }
    }
    auto shared = std::make_shared<target_answer>(std::move(answer));
    this->pending_deliveries.emplace(
        this->clock.milliseconds, delivery{entry.options.host, entry.incarnation, [this, shared](node& at) {
                                               this->handle_event(at, target_answer(*shared));
                                           }});
}

void simulated_fleet::answer_callers(node& entry, std::vector<listener_answer>&& answers, bool egress) {
    for (auto const& answer : answers) {
        if (egress) {
            auto const waiting = this->runs_waiting_for_call.find(answer.id);
            if (waiting == this->runs_waiting_for_call.end()) {
                continue;
            }
            auto const index = waiting->second;
            this->runs_waiting_for_call.erase(waiting);
            for (auto const& [id, run] : entry.running) {
                if (run == index) {
                    this->pending_deliveries.emplace(
                        (this->clock + entry.service.service_time).milliseconds,
                        delivery{entry.options.host, entry.incarnation,
                                 [this, id = id](node& at) { this->end_run(at, id, false); }});
                    break;
                }
            }
            continue;
        }
        auto const open_request = this->open_requests.find(answer.id);
        if (open_request == this->open_requests.end()) {
            continue;
        }
        auto& recorded = this->caller_results.at(open_request->second.second);
        recorded.answered = this->clock;
        recorded.status = answer.status;
        if (answer.metadata) {
            recorded.result = answer.metadata->result;
            recorded.code = answer.metadata->code;
            recorded.retry_after_ms = answer.metadata->retry_after_ms;
            recorded.ticket = answer.metadata->ticket;
        }
        this->open_requests.erase(open_request);
    }
}

std::string simulated_fleet::send_request(std::string const& host, std::string const& path, double timeout_ms,
                                          std::string const& key_sha256, std::string const& ticket) {
    auto& entry = *this->nodes.at(host);
    if (entry.core == nullptr) {
        return {};
    }
    auto const id = this->next_request_id++;
    auto const request_id = "r-" + std::to_string(id);
    this->caller_results[request_id] = {.path = path, .sent = this->clock};
    this->open_requests[id] = {host, request_id};
    this->handle_event(entry, listener_request{.id = id,
                                               .method = "GET",
                                               .path = path,
                                               .key_sha256 = key_sha256,
                                               .idempotency_key = ticket,
                                               .request_id = request_id,
                                               .timeout_ms = timeout_ms});
    return request_id;
}

void simulated_fleet::disconnect(std::string const& request_id) {
    for (auto const& [id, origin] : this->open_requests) {
        if (origin.second == request_id) {
            this->handle_event(*this->nodes.at(origin.first), disconnect_event{listener_side::callers, id});
            return;
        }
    }
}

void simulated_fleet::publish_configuration_at(std::string const& host, item_set const& items) {
    this->configuration = make_bundle_or_throw(items, ++this->revision);
    this->handle_event(*this->nodes.at(host),
                       platform_document_event{document_kind::configuration, this->configuration});
}

std::uint64_t simulated_fleet::configuration_revision(std::string const& host) const {
    auto const& entry = *this->nodes.at(host);
    return entry.core == nullptr ? 0 : entry.core->status(false, this->clock)->configuration_revision;
}

std::vector<std::string> simulated_fleet::hosts() const {
    std::vector<std::string> names;
    for (auto const& [host, entry] : this->nodes) {
        names.push_back(host);
    }
    return names;
}

std::vector<std::string> simulated_fleet::hosts_of(std::string const& service) const {
    std::vector<std::string> names;
    for (auto const& [host, entry] : this->nodes) {
        if (entry->service.name == service) {
            names.push_back(host);
        }
    }
    return names;
}

bool simulated_fleet::reads_platform(std::string const& host) const {
    return this->is_alive(host) && this->nodes.at(host)->core->reads_platform();
}

bool simulated_fleet::is_alive(std::string const& host) const {
    return this->nodes.at(host)->core != nullptr;
}

bool simulated_fleet::is_paused(std::string const& host) const {
    return this->clock < this->nodes.at(host)->paused_until;
}

void simulated_fleet::kill(std::string const& host) {
    auto& entry = *this->nodes.at(host);
    if (entry.core == nullptr) {
        return;
    }
    auto const links = entry.links;
    for (auto const& [connection, end] : links) {
        this->close(entry, connection);
    }
    std::erase_if(this->open_requests, [&](auto const& origin) { return origin.second.first == host; });
    entry.links.clear();
    entry.held_events.clear();
    entry.running.clear();
    entry.connecting.clear();
    entry.unrepeatable.clear();
    entry.core.reset();
    entry.incarnation = 0;
}

void simulated_fleet::restart(std::string const& host) {
    this->kill(host);
    this->start(*this->nodes.at(host));
}

void simulated_fleet::pause(std::string const& host, duration span) {
    this->nodes.at(host)->paused_since = this->clock;
    this->nodes.at(host)->paused_until = this->clock + span;
}

void simulated_fleet::partition(std::string const& host, duration span) {
    this->nodes.at(host)->partitioned_until = this->clock + span;
}

void simulated_fleet::terminate(std::string const& host) {
    auto& entry = *this->nodes.at(host);
    entry.stops_at = this->clock + duration{this->plan.drain_ms};
    this->handle_event(entry, phase_event{node_phase::draining});
}

void simulated_fleet::set_target_statement(std::string const& host, target_statement statement) {
    this->nodes.at(host)->statement = statement;
}

void simulated_fleet::set_target_cold(std::string const& host, duration span) {
    this->nodes.at(host)->cold_until = this->clock + span;
}

std::size_t simulated_fleet::runs_of(std::string const& request_id) const {
    auto const& path = this->caller_results.at(request_id).path;
    return static_cast<std::size_t>(std::ranges::count_if(this->target_runs, [&](target_run const& run) {
        return run.request_id == request_id && run.path == path;
    }));
}

void simulated_fleet::step() {
    while (!this->pending_deliveries.empty() &&
           this->pending_deliveries.begin()->first <= this->clock.milliseconds) {
        auto const next = std::move(this->pending_deliveries.begin()->second);
        this->pending_deliveries.erase(this->pending_deliveries.begin());
        auto& entry = *this->nodes.at(next.host);
        if (entry.core != nullptr && entry.incarnation == next.incarnation) {
            next.action(entry);
        }
    }
    for (auto& [host, entry] : this->nodes) {
        if (entry->core == nullptr || this->clock < entry->paused_until) {
            continue;
        }
        this->handle_held_events(*entry);
        if (this->clock >= entry->next_tick) {
            entry->next_tick = this->clock + core_tick_interval;
            entry->core->run_periodic_tasks(this->clock);
            this->execute_effects(*entry);
            if (this->platform_is_followed && entry->serving) {
                this->read_platform(*entry);
            }
        }
        if (!entry->serving && entry->core->status(false, this->clock)->documents_ready) {
            entry->serving = true;
            this->handle_event(*entry, phase_event{node_phase::serving});
        }
        if (entry->stops_at && this->clock >= *entry->stops_at) {
            this->handle_event(*entry, phase_event{node_phase::closing});
            this->kill(host);
        }
    }
}

void simulated_fleet::run_for(duration span, std::function<void()> const& each_step) {
    auto const end = this->clock + span;
    while (this->clock < end) {
        this->clock = this->clock + step_duration;
        if (each_step) {
            each_step();
        }
        this->step();
    }
}

} // namespace caraway::simulation
