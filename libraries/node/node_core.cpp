#include "node/node_core.hpp"

#include "node/status_report.hpp"
#include "platform/document_revision.hpp"
#include "policy/rendezvous.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

constexpr duration gossip_interval{250};
/// Between two times that several peers receive gossip at once. Documents that change in quick succession
/// spread together.
constexpr duration urgent_gossip_interval{80};
constexpr duration lease_task_interval{10};
constexpr duration peer_task_interval{50};
constexpr duration cleanup_interval{5000};
/// A fifth of the time within which work for a caller that has left has to end.
constexpr duration loop_lateness_to_log{100};
/// Checks share the processor time of the loop.
constexpr duration check_time_to_log{20};
/// Up to four times this many connected peers receive gossip at once after a revision came into force or a
/// target crashed.
constexpr std::size_t urgent_gossip_fanout = 4;
/// Hosts of each failure domain that read the platform at the same time.
constexpr std::size_t active_reader_count = 2;
/// How long a node without a link to any reader waits before it reads the platform itself. All hosts of a
/// fleet that starts would otherwise watch the platform until their links are open.
constexpr duration reader_link_grace{1500};
constexpr std::size_t max_gossiped_suspects = 64;
constexpr std::size_t max_gossiped_targets = 64;
/// Messages give rate limits in thousandths of a request per second.
constexpr double rate_limit_unit = 1000;

template <typename... Handlers>
struct lambda_visitor : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers>
lambda_visitor(Handlers...) -> lambda_visitor<Handlers...>;

lease_timing with_tolerance(lease_timing timing, rate_tolerance const& tolerance) {
    timing.tolerates_takeover = tolerance.window.milliseconds > 0;
    return timing;
}

std::vector<listed_host> seed_hosts(settings const& options) {
    std::vector<listed_host> hosts;
    for (auto const& seed : options.peers) {
        hosts.push_back({seed.host, seed.failure_domain, seed.service, seed.link, false});
    }
    return hosts;
}

/// The hosts of a failure domain that may read the platform, in the order in which they do.
std::vector<std::string> choose_readers(std::vector<listed_host> const& hosts, std::string const& domain) {
    std::vector<std::string> names;
    for (auto const& entry : hosts) {
        if (entry.failure_domain == domain) {
            names.push_back(entry.host);
        }
    }
    return rendezvous_top(names, platform_reader_key, platform_candidate_count);
}

/// How long the listed target has been running, by the clocks of two hosts; empty if that is unknown.
std::optional<duration> running_time(listed_host const& entry) {
    if (entry.started_ms == 0) {
        return std::nullopt;
    }
    constexpr double nanoseconds_per_millisecond = 1e6;
    double const wall_ms = static_cast<double>(wall_clock_nanoseconds()) / nanoseconds_per_millisecond;
    return duration{wall_ms - static_cast<double>(entry.started_ms)};
}

} // namespace

node_core::node_core(settings wanted, platform_traits traits, std::uint64_t incarnation, lease_timing limits,
                     time_point started)
    : context(std::move(wanted), incarnation, with_tolerance(limits, traits.quota_tolerance), started),
      local_executor(context, started), evacuation(context, local_executor), router(context, local_executor),
      documents(context.pending_effects, started, traits.has_monotonic_reads),
      tolerance(traits.quota_tolerance), used_rates(traits.former_rate_span), last_event_time(started) {
    this->context.tolerated_cold = traits.cold;
    this->context.make_own_report = [this] { return this->own_report(this->last_event_time); };
    // Configured peers allow links before any host list has been read; rate leases need the list itself.
    this->hosts = seed_hosts(this->context.options);
    this->context.peers.set_regions(this->context.options.region, this->context.options.domain_regions);
    this->context.peers.update_hosts(this->hosts, started);
    this->readers = choose_readers(this->hosts, this->context.options.failure_domain);
}

host_report node_core::own_report(time_point now) {
    host_report report{.incarnation = this->context.incarnation,
                       .ticket_window = this->local_executor.ticket_window(now),
                       .in_flight = static_cast<std::uint32_t>(this->local_executor.in_flight() +
                                                               this->local_executor.queue_length()),
                       .limit = static_cast<std::uint32_t>(this->local_executor.reported_limit()),
                       .leaving = this->context.is_leaving(),
                       .serving = this->context.phase == node_phase::serving &&
                                  this->context.configuration != nullptr};
    this->local_executor.target().describe(report, now);
    this->local_executor.describe_load(report, now);
    return report;
}

void node_core::handle(core_event&& event, time_point now) {
    this->take_in(std::move(event), now);
    while (this->start_next(now)) {
    }
}

void node_core::take_in(core_event&& event, time_point now) {
    this->last_event_time = now;
    this->local_executor.target().note_time(now);
    std::visit(
        lambda_visitor{
            [&](listener_request& request) { this->take_in_request(std::move(request), now); },
            [&](disconnect_event& disconnect) { this->on_disconnect(disconnect, now); },
            [&](target_answer& answer) {
                bool const may_have_crashed = answer.code == result_code::target_crashed;
                this->local_executor.on_target_answer(std::move(answer), now);
                this->has_new_suspects = this->has_new_suspects || may_have_crashed;
            },
            [&](link_event& link) { this->on_link(std::move(link), now); },
            [&](platform_document_event& read) {
                this->documents.on_platform_document(read.document, std::move(read.content), now);
            },
            [&](platform_service_event& service) {
                this->platform_serves = service.is_served;
                this->platform_lost_at = service.is_served ? this->platform_lost_at : now;
                this->observe_readers(now);
            },
            [&](document_checked_event& checked) { this->on_document_checked(std::move(checked), now); },
            [&](phase_event& phase) { this->on_phase(phase.phase, now); },
        },
        event);
    this->process_pending(now);
}

void node_core::take_in_request(request_intake::item&& arrived, time_point now) {
    std::visit(
        [now](auto& item) {
            if (item.arrived.read.milliseconds == 0) {
                item.arrived.read = now;
            }
        },
        arrived);
    auto const* forwarded = std::get_if<link_event>(&arrived);
    bool const is_whole =
        forwarded == nullptr || !std::get<forward_message>(forwarded->content).body_was_dropped;
    if (is_whole && this->intake.size() < this->context.options.max_requests) {
        return this->intake.add(std::move(arrived));
    }
    if (auto const* request = std::get_if<listener_request>(&arrived)) {
        return this->router.reject_request(*request, result_code::node_busy, now);
    }
    auto& event = std::get<link_event>(arrived);
    this->local_executor.refuse_unstarted(event.peer.host, event.connection,
                                          std::get<forward_message>(std::move(event.content)),
                                          result_code::node_busy, now);
}

bool node_core::start_next(time_point now) {
    auto next = this->intake.take_next();
    if (!next) {
        return false;
    }
    this->last_event_time = now;
    this->start_request(std::move(*next), now);
    this->process_pending(now);
    return true;
}

void node_core::start_request(request_intake::item&& arrived, time_point now) {
    if (auto* request = std::get_if<listener_request>(&arrived)) {
        return this->router.on_request(std::move(*request), now);
    }
    auto& event = std::get<link_event>(arrived);
    this->on_message({event.peer.host, event.connection, std::move(event.content), event.arrived}, now);
}

void node_core::on_disconnect(disconnect_event const& event, time_point now) {
    if (this->intake.remove_request(event.side, event.id)) {
        return this->context.node_metrics.increment_counter("requests_ended_before_start");
    }
    this->router.on_disconnect(event.side, event.id, now);
}

void node_core::on_link(link_event&& event, time_point now) {
    switch (event.kind) {
    case link_event_kind::opened:
        if (this->context.peers.on_opened(event, now)) {
            // The first message on the connection, so that a host that has restarted learns what its target
            // states before it gets requests from this one.
            this->context.pending_effects.messages.push_back(
                {event.connection, this->make_gossip(true, now)});
        }
        return;
    case link_event_kind::closed:
        this->context.node_metrics.increment_counter("requests_ended_before_start",
                                                     this->intake.remove_connection(event.connection));
        this->context.peers.on_closed(event.connection);
        this->local_executor.on_connection_lost(event.connection, now);
        return this->router.on_connection_lost(event.connection, now);
    case link_event_kind::refused:
        this->context.node_metrics.increment_counter("links_refused");
        this->context.pending_effects.log(
            log_level::warn, "link_refused",
            {{"claimed_host", event.peer.host}, {"code", std::string(describe(event.code).name)}});
        return;
    case link_event_kind::received:
        if (std::holds_alternative<forward_message>(event.content)) {
            this->context.peers.on_message_received(event.peer.host, event.connection, now);
            return this->take_in_request(std::move(event), now);
        }
        this->on_message({event.peer.host, event.connection, std::move(event.content), event.arrived}, now);
        return;
    }
}

void node_core::on_message(received_message&& received, time_point now) {
    auto const& from = received.from;
    this->context.peers.on_message_received(from, received.connection, now);
    std::visit(
        lambda_visitor{
            [&](forward_message& request) {
                this->local_executor.receive(from, received.connection, std::move(request), received.arrived,
                                             now);
            },
            [&](answer_message& answer) { this->router.on_answer(from, std::move(answer), now); },
            [&](cancel_message& cancel) {
                if (this->intake.remove_forwarded(from, cancel.call_id)) {
                    return this->context.node_metrics.increment_counter("requests_ended_before_start");
                }
                this->local_executor.cancel(from, cancel.call_id, now);
            },
            [&](ping_message& ping) {
                this->context.record_report(from, ping.report, now);
                this->context.peers.on_ping(from, received.connection, ping, this->own_report(now), now);
            },
            [&](pong_message& pong) {
                this->context.record_report(from, pong.report, now);
                this->context.peers.on_pong(from, received.connection, pong, now);
            },
            [&](gossip_message&) { this->on_gossip(received, now); },
            [&](fetch_message& fetch) { this->documents.on_fetch(from, fetch); },
            [&](values_message& values) { this->documents.on_values(from, values, now); },
            [&](token_request_message& want) { this->context.rate_leases.receive(from, want, now); },
            [&](token_grant_message& grant) { this->context.rate_leases.receive(from, grant, now); },
            [&](membership_request_message& ask) { this->context.rate_leases.receive(from, ask, now); },
            [&](membership_reply_message& counted) { this->context.rate_leases.receive(from, counted, now); },
            [&](auto&) { this->context.node_metrics.increment_counter("messages_unexpected"); },
        },
        received.content);
}

void node_core::on_gossip(received_message const& received, time_point now) {
    auto const& gossip = std::get<gossip_message>(received.content);
    this->context.record_report(received.from, gossip.report, now);
    for (auto const& reported : gossip.targets) {
        target_state state{.leaving = reported.is_leaving, .updated = now - duration{reported.age_ms}};
        if (reported.is_limited) {
            state.rate_limit = reported.rate_limit / rate_limit_unit;
        }
        state.cold_until = state.updated + duration{reported.cold_ms};
        this->local_executor.target().adopt(reported.target, state, now);
        this->context.targets.merge(reported.target, state, now);
    }
    this->documents.on_gossip(received.from, gossip, now);
    bool lacks_platform = false;
    for (auto const& reported : gossip.suspects) {
        if (reported.fingerprint == platform_fingerprint && reported.crash_count == 0) {
            lacks_platform = true;
            continue;
        }
        bool const is_new = this->context.request_quarantine.merge(reported.fingerprint, reported.crash_count,
                                                                   {reported.age_ms}, now);
        this->has_new_suspects = this->has_new_suspects || is_new;
    }
    this->context.peers.set_lacks_platform(received.from, lacks_platform);
    if (gossip.wants_answer) {
        this->send_gossip(received.from, false, now);
    }
}

void node_core::on_document_checked(document_checked_event&& event, time_point now) {
    bool const accepted = event.refusal.empty();
    if (event.took >= check_time_to_log) {
        this->context.pending_effects.log(
            log_level::info, "document_checked",
            {{"document", event.document == document_kind::configuration ? "configuration" : "hosts"},
             {"revision", std::to_string(event.revision)},
             {"took_ms", std::to_string(std::llround(event.took.milliseconds))}});
    }
    this->documents.on_checked(event.document, event.revision, accepted);
    if (!accepted) {
        this->context.node_metrics.increment_counter("documents_refused");
        this->context.pending_effects.log(
            log_level::error, "document_refused",
            {{"revision", std::to_string(event.revision)}, {"reason", event.refusal}});
        return;
    }
    if (this->documents.revision(event.document) != event.revision) {
        return;
    }
    this->in_force_since.at(static_cast<std::size_t>(event.document)) = now;
    if (event.configuration != nullptr) {
        this->apply_configuration(std::move(event.configuration), now);
    }
    if (event.hosts != nullptr) {
        this->apply_host_list(*event.hosts, now);
    }
}

void node_core::apply_configuration(configuration_pointer configuration, time_point now) {
    this->context.configuration = std::move(configuration);
    this->configure_rate_limits(now);
    this->local_executor.apply_configuration();
    this->local_executor.target().apply_configuration(now);
    this->configure_cold_rates();
    this->context.pending_effects.log(
        log_level::info, "configuration_in_force",
        {{"revision", std::to_string(this->context.configuration->revision())}});
}

double node_core::domain_rate_fraction() const {
    auto const& domains = this->context.configuration->failure_domains();
    auto const& name = this->context.options.failure_domain;
    if (!domains.empty()) {
        auto const own = domains.find(name);
        return own == domains.end() ? 0 : own->second.effective_weight;
    }
    auto const in_domain = std::ranges::count(this->hosts, name, &listed_host::failure_domain);
    return this->hosts.empty() ? 0 : static_cast<double>(in_domain) / static_cast<double>(this->hosts.size());
}

rate_limit node_core::make_rate_limit(rate_part const& whole, rate_plan const& plan) const {
    if (plan.pool_domains.empty()) {
        double const weight = this->domain_rate_fraction() * plan.division.leased_fraction;
        return {.rate = whole.rate * weight, .burst = whole.burst * weight};
    }
    rate_limit limit{.pool_domains = plan.pool_domains, .reserve = plan.reserve};
    if (limit.has_pools_in(this->context.options.failure_domain)) {
        limit.rate = plan.pool.rate;
        limit.burst = plan.pool.burst;
    }
    return limit;
}

void node_core::configure_rate_limits(time_point now) {
    if (this->context.configuration == nullptr) {
        return;
    }
    // Configured weights say how much of every rate each domain holds; without them pools are placed by size.
    bool const has_weights = !this->context.configuration->failure_domains().empty();
    std::vector<std::string> const domains =
        has_weights ? std::vector<std::string>{} : this->context.options.failure_domains;
    // A host that is not listed is not counted by the others, so it has no even share.
    bool const is_listed =
        std::ranges::find(this->hosts, this->context.options.host, &listed_host::host) != this->hosts.end();
    std::unordered_map<std::string, rate_part> configured;
    for (auto const& [name, entry] : this->context.configuration->organisations()) {
        if (entry.is_limited()) {
            configured[name] = {entry.rate, entry.burst};
        }
    }
    this->used_rates.update(configured, now);
    std::unordered_map<std::string, rate_limit> limits;
    std::unordered_map<std::string, rate_division> divisions;
    for (auto const& [name, wanted] : configured) {
        auto const used = this->used_rates.limit(name, now);
        auto const plan =
            plan_rate(name, used.rate, used.burst, domains, this->hosts.size(), this->tolerance);
        limits[name] = this->make_rate_limit(used, plan);
        if (is_listed) {
            divisions[name] = plan.division;
        }
    }
    this->context.local_rates.configure(divisions, now);
    this->context.rate_leases.configure(std::move(limits), now);
}

void node_core::apply_host_list(host_list const& list, time_point now) {
    auto const before = std::exchange(this->hosts, merge_host_list(this->hosts, list));
    this->context.peers.update_hosts(this->hosts, now);
    this->readers = choose_readers(this->hosts, this->context.options.failure_domain);
    this->configure_cold_rates();
    this->record_listed_cold(before, now);
    domain_hosts listed;
    for (auto const& entry : this->hosts) {
        listed[entry.failure_domain].insert(entry.host);
    }
    this->context.rate_leases.update_hosts(std::move(listed), now);
    this->context.chooser.remove_unlisted(this->context.peers.listed_hosts());
    auto const own = std::ranges::find(this->hosts, this->context.options.host, &listed_host::host);
    bool const is_listed = own != this->hosts.end();
    this->context.own_target_instance = is_listed ? own->instance : "";
    this->local_executor.target().on_listed(
        is_listed ? make_target_id(own->host, own->instance, own->started_ms) : 0,
        duration{is_listed ? own->warm_up_ms : 0}, now, is_listed ? running_time(*own) : std::nullopt);
    // A list that names other hosts but not this one means that its target has left without notice.
    this->context.target_is_leaving = is_listed ? own->leaving : !this->hosts.empty();
    this->local_executor.set_listed_slots(is_listed ? own->slots : 0);
    this->evacuation.apply_host_list(list, now);
    this->configure_rate_limits(now);
    this->context.pending_effects.log(log_level::info, "host_list_in_force",
                                      {{"revision", std::to_string(list.revision)},
                                       {"epoch", std::to_string(epoch_of(list.revision))},
                                       {"hosts", std::to_string(this->hosts.size())}});
}

void node_core::configure_cold_rates() {
    std::unordered_map<target_id, double> rates;
    for (auto const& entry : this->hosts) {
        auto const* service = this->context.configuration == nullptr
                                  ? nullptr
                                  : this->context.configuration->find_service(entry.service);
        if (service != nullptr && service->cold_rate > 0) {
            rates[make_target_id(entry.host, entry.instance, entry.started_ms)] =
                plan_cold_pace(service->cold_rate, this->context.tolerated_cold).pace;
        }
    }
    this->context.targets.configure_cold_rates(std::move(rates));
}

void node_core::record_listed_cold(std::vector<listed_host> const& before, time_point now) {
    std::unordered_map<std::string, listed_host const*> known_hosts;
    for (auto const& entry : before) {
        known_hosts[entry.host] = &entry;
    }
    for (auto const& entry : this->hosts) {
        auto const known = known_hosts.find(entry.host);
        bool const is_unchanged = known != known_hosts.end() && known->second->instance == entry.instance &&
                                  known->second->started_ms == entry.started_ms &&
                                  known->second->warm_up_ms == entry.warm_up_ms;
        if (entry.warm_up_ms > 0 && !is_unchanged) {
            this->context.targets.record_cold(make_target_id(entry.host, entry.instance, entry.started_ms),
                                              now + duration{entry.warm_up_ms}, 0, now);
        }
    }
}

void node_core::on_phase(node_phase phase, time_point now) {
    this->context.phase = phase;
    if (phase == node_phase::closing) {
        // Callers of this node first: what it cancels for them needs no answer of the executor.
        this->router.end_all(now);
        return this->local_executor.end_all(now);
    }
    if (phase != node_phase::draining) {
        return;
    }
    this->context.draining_since = now;
    this->local_executor.start_draining(now);
    this->context.rate_leases.leave(now);
    for (auto const& host : this->context.peers.connected_hosts()) {
        this->send_gossip(host, false, now);
    }
}

gossip_message node_core::make_gossip(bool wants_answer, time_point now) {
    gossip_message content{.report = this->own_report(now),
                           .documents = this->documents.versions(),
                           .wants_answer = wants_answer};
    if (this->reported_lack) {
        content.suspects.push_back({platform_fingerprint, 0, (now - this->platform_lost_at).milliseconds});
    }
    for (auto const& entry : this->context.request_quarantine.suspects(now)) {
        if (content.suspects.size() < max_gossiped_suspects) {
            content.suspects.push_back(
                {entry.fingerprint, entry.crashes, (now - entry.last_crash).milliseconds});
        }
    }
    for (auto const& [target, state] : this->context.targets.restricted_targets(now)) {
        if (content.targets.size() < max_gossiped_targets) {
            content.targets.push_back(
                {.target = target,
                 .is_limited = state.rate_limit.has_value(),
                 .is_leaving = state.leaving,
                 .rate_limit =
                     static_cast<std::uint32_t>(std::llround(state.rate_limit.value_or(0) * rate_limit_unit)),
                 .age_ms = (now - state.updated).milliseconds,
                 .cold_ms = std::max(0.0, (state.cold_until - state.updated).milliseconds)});
        }
    }
    return content;
}

void node_core::send_gossip(std::string const& host, bool wants_answer, time_point now) {
    this->context.send_to_host(host, this->make_gossip(wants_answer, now), now);
}

void node_core::gossip_if_due(time_point now) {
    auto const open = this->context.peers.connected_hosts();
    if (open.empty()) {
        return;
    }
    bool const has_change = this->documents.consume_change_flag();
    this->has_news = this->has_news || has_change || std::exchange(this->has_new_suspects, false);
    bool const urgent = this->has_news && now >= this->next_urgent_gossip;
    if (now < this->next_gossip && !urgent) {
        return;
    }
    this->next_gossip = now + gossip_interval;
    if (urgent) {
        this->has_news = false;
        this->next_urgent_gossip = now + urgent_gossip_interval;
    }
    auto const count =
        urgent ? std::max(urgent_gossip_fanout, std::min<std::size_t>(open.size(), urgent_gossip_fanout * 4))
               : 1;
    for (std::size_t index = 0; index < std::min(count, open.size()); ++index) {
        this->send_gossip(open[this->next_gossip_index++ % open.size()], !urgent, now);
    }
}

void node_core::process_pending(time_point now) {
    // Handling a message may produce further messages to other hosts and to this one.
    bool busy = true;
    while (busy) {
        busy = false;
        for (auto& outgoing : this->context.rate_leases.take_outgoing_messages()) {
            busy = true;
            std::visit(
                [&](auto& content) {
                    this->context.peers.send_when_linked(outgoing.to, std::move(content), now);
                },
                outgoing.content);
        }
        for (auto& outgoing : this->documents.take_outgoing_messages()) {
            busy = true;
            this->context.send_to_host(outgoing.to, std::move(outgoing.content), now);
        }
        while (!this->context.loopback_messages.empty()) {
            busy = true;
            auto received = std::move(this->context.loopback_messages.front());
            this->context.loopback_messages.pop_front();
            this->on_message(std::move(received), now);
        }
        if (!this->context.rate_leases.take_refilled_organisations().empty()) {
            busy = true;
            this->router.process_waiting_requests(now);
        }
    }
}

void node_core::run_periodic_tasks(time_point now) {
    this->last_event_time = now;
    this->evacuation.run_periodic_tasks(now);
    this->local_executor.target().note_time(now);
    this->local_executor.run_periodic_tasks(now);
    this->router.run_periodic_tasks(now);
    this->documents.run_periodic_tasks(now);
    if (now >= this->next_lease_tasks) {
        this->next_lease_tasks = now + lease_task_interval;
        if (this->used_rates.remove_expired(now)) {
            this->configure_rate_limits(now);
        }
        this->context.rate_leases.run_periodic_tasks(now, this->router.count_waiting_for_rate_token());
    }
    if (now >= this->next_peer_tasks) {
        this->next_peer_tasks = now + peer_task_interval;
        this->observe_readers(now);
        auto const has_work = [this](connection_id connection) {
            return this->router.has_call_on(connection) || this->local_executor.has_waiter_on(connection);
        };
        for (auto const connection :
             this->context.peers.maintain_links(this->own_report(now), has_work, now)) {
            this->context.node_metrics.increment_counter("links_silent");
            this->local_executor.on_connection_lost(connection, now);
            this->router.on_connection_lost(connection, now);
        }
    }
    if (now >= this->next_cleanup) {
        this->next_cleanup = now + cleanup_interval;
        this->context.admissions.remove_expired(now);
        this->context.rooms.remove_expired(now);
        this->local_executor.accounting().remove_expired(now);
        this->context.targets.remove_expired(now);
        this->context.request_quarantine.remove_expired(now);
        this->router.remove_expired(now);
    }
    this->gossip_if_due(now);
    this->process_pending(now);
}

void node_core::record_loop_turn(loop_turn const& turn) {
    this->context.node_metrics.observe(latency_metric::loop, turn.late);
    if (turn.late < loop_lateness_to_log) {
        return;
    }
    auto const rounded = [](duration span) { return std::to_string(std::llround(span.milliseconds)); };
    this->context.pending_effects.log(log_level::warn, "loop_late",
                                      {{"late_ms", rounded(turn.late)},
                                       {"core_ms", rounded(turn.core_time)},
                                       {"steps", std::to_string(turn.step_count)},
                                       {"longest_step", std::string(turn.longest_step)},
                                       {"longest_ms", rounded(turn.longest_time)}});
}

effects node_core::take_effects() {
    return std::exchange(this->context.pending_effects, {});
}

void node_core::observe_readers(time_point now) {
    std::erase_if(this->reader_seen_at, [this](auto const& entry) {
        return std::ranges::find(this->readers, entry.first) == this->readers.end();
    });
    for (auto const& name : this->readers) {
        // Before the first host list there is no reader to wait for.
        bool const is_first = this->reader_seen_at.try_emplace(name, now).second;
        if (is_first || this->context.peers.is_connected(name)) {
            this->reader_seen_at[name] = now;
        }
    }
    for (auto const& name : this->first_readers()) {
        this->any_reader_seen_at = std::max(this->any_reader_seen_at, this->reader_seen_at[name]);
    }
    bool const lacks_platform = !this->platform_serves && this->reads_platform();
    if (lacks_platform == std::exchange(this->reported_lack, lacks_platform)) {
        return;
    }
    this->context.pending_effects.log(
        log_level::warn, lacks_platform ? "platform_lost" : "platform_found",
        {{"lost_ms", std::to_string(std::llround((now - this->platform_lost_at).milliseconds))}});
    for (auto const& name : this->readers) {
        if (name != this->context.options.host) {
            this->send_gossip(name, false, now);
        }
    }
}

std::span<std::string const> node_core::first_readers() const {
    return std::span(this->readers).first(std::min(this->readers.size(), platform_reader_count));
}

bool node_core::is_live_reader(std::string const& host, std::size_t own_rank) const {
    if (this->context.peers.is_connected(host)) {
        return !this->context.peers.find(host)->lacks_platform;
    }
    // The first ones replace a host that is lost at once; the others may have no link to it yet.
    auto const seen = this->reader_seen_at.find(host);
    return own_rank >= platform_reader_count && seen != this->reader_seen_at.end() &&
           this->last_event_time - seen->second < reader_link_grace;
}

bool node_core::reads_platform() const {
    if (this->context.configuration == nullptr) {
        return true;
    }
    auto const own = std::ranges::find(this->readers, this->context.options.host);
    auto const own_rank = static_cast<std::size_t>(own - this->readers.begin());
    if (own != this->readers.end()) {
        // A standby reads only while fewer of the hosts before it do than are to read. The hosts behind the
        // standby read only while none of those before them does.
        auto const live_count = std::count_if(this->readers.begin(), own, [&](std::string const& name) {
            return this->is_live_reader(name, own_rank);
        });
        std::size_t const needed = own_rank < platform_reader_count ? active_reader_count : 1;
        if (static_cast<std::size_t>(live_count) < needed) {
            return true;
        }
        if (own_rank < platform_reader_count) {
            return false;
        }
    }
    // Without a link to any of the first readers a node has to read the platform itself.
    bool const has_link = std::ranges::any_of(this->first_readers(), [this](std::string const& name) {
        return this->context.peers.is_connected(name);
    });
    bool const awaits_link = this->any_reader_seen_at.milliseconds > 0 &&
                             this->last_event_time - this->any_reader_seen_at < reader_link_grace;
    return !has_link && !awaits_link;
}

bool node_core::is_idle() const {
    return this->intake.size() == 0 && this->router.call_count() == 0 &&
           this->local_executor.execution_count() == 0;
}

bool node_core::is_ready() const {
    return this->context.configuration != nullptr && this->documents.revision(document_kind::hosts) > 0;
}

std::shared_ptr<node_status> node_core::status(bool with_texts, time_point now) {
    auto snapshot = std::make_shared<node_status>();
    snapshot->phase = this->context.phase;
    snapshot->documents_ready = this->is_ready();
    snapshot->ready = snapshot->documents_ready && this->context.phase == node_phase::serving;
    snapshot->reads_platform = this->reads_platform();
    snapshot->call_count = this->router.call_count();
    snapshot->execution_count = this->local_executor.execution_count();
    snapshot->configuration_revision = this->documents.revision(document_kind::configuration);
    snapshot->configuration = this->documents.content(document_kind::configuration);
    if (!with_texts) {
        return snapshot;
    }
    auto& node_metrics = this->context.node_metrics;
    node_metrics.set_gauge("configuration_revision", static_cast<double>(snapshot->configuration_revision));
    node_metrics.set_gauge("hosts_revision",
                           static_cast<double>(this->documents.revision(document_kind::hosts)));
    node_metrics.set_gauge("target_in_flight", static_cast<double>(this->local_executor.in_flight()));
    node_metrics.set_gauge("target_queue", static_cast<double>(this->local_executor.queue_length()));
    node_metrics.set_gauge("target_limit", static_cast<double>(this->local_executor.concurrency_limit()));
    node_metrics.set_gauge("target_rate_limit", this->local_executor.target().rate_limit().value_or(-1));
    node_metrics.set_gauge("target_cold_ms", this->local_executor.target().cold_for(now).milliseconds);
    node_metrics.set_gauge("target_pace", this->local_executor.target().is_pacing(now)
                                              ? this->local_executor.target().pace(now)
                                              : -1);
    auto const& learned = this->local_executor.target().learned();
    node_metrics.set_gauge("target_window", learned.is_learning() ? learned.window() : -1);
    node_metrics.set_gauge("target_leaving", this->local_executor.target().is_leaving() ? 1 : 0);
    node_metrics.set_gauge("domains_evacuated",
                           static_cast<double>(this->context.evacuations.in_force().size()));
    node_metrics.set_gauge("links_open", static_cast<double>(this->context.peers.connected_hosts().size()));
    node_metrics.set_gauge("core_events_refused", static_cast<double>(this->refused_event_count));
    node_metrics.set_gauge("requests_live", static_cast<double>(this->router.call_count()));
    snapshot->metrics_text = node_metrics.to_prometheus();
    snapshot->status_json = status_to_json({.context = this->context,
                                            .local = this->local_executor,
                                            .replicator = this->documents,
                                            .in_force_since = this->in_force_since,
                                            .ready = snapshot->ready,
                                            .reads_platform = snapshot->reads_platform},
                                           now);
    return snapshot;
}

} // namespace caraway
