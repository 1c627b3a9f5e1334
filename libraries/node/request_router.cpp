#include "node/request_router.hpp"

#include "base/digest.hpp"
#include "http/status_rules.hpp"
#include "policy/latest_start.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

/// The longest time that a request waits for a rate token of its organisation, or for a link to a host.
constexpr duration max_waiting_time{150};
/// A request waits this long for a token of its organisation's rate: long enough for a pool in another
/// failure domain to be asked after the pool that was asked first did not answer.
constexpr duration max_token_waiting_time{300};
/// Bound on the requests of one organisation that wait for rate tokens.
constexpr std::size_t max_waiting_requests = 256;
/// A call that was sent to a host fails when the host has been unreachable for this long.
constexpr duration unreachable_host_timeout{3000};
/// Further transmissions of one ticket after the first.
constexpr int max_resends = 3;
constexpr std::uint8_t max_call_depth = 16;
constexpr double min_retry_after_ms = 100;
constexpr double overload_retry_after_ms = 500;
/// HTTP status codes from here on are server errors.
constexpr std::uint16_t first_server_error_status = 500;
/// Subtracted from the time left when a request goes to another host, so that this node's own answer still
/// arrives in time.
constexpr double hop_reserve_ms = 1;

bool is_failure(answer_message const& answer) {
    return answer.code == result_code::target_crashed || answer.code == result_code::target_unreachable ||
           answer.code == result_code::target_malformed || answer.code == result_code::peer_lost ||
           answer.code == result_code::answer_lost;
}

/// The target's host refuses such an answer itself, unless it runs an older version.
void reject_invalid_status(answer_message& answer) {
    if (answer.code != result_code::ok || is_final_status(answer.status)) {
        return;
    }
    answer.result = outcome::unknown;
    answer.code = result_code::target_malformed;
    answer.headers.clear();
}

/// Whether the host beside the target had no room for the request in the target's pace.
bool is_paced_refusal(result_code code) {
    return code == result_code::target_limited || code == result_code::target_cold;
}

bool is_refusal(answer_message const& answer) {
    return answer.code == result_code::overloaded || answer.code == result_code::queue_timeout ||
           answer.code == result_code::node_busy || answer.code == result_code::target_refused ||
           answer.code == result_code::passed_on || is_paced_refusal(answer.code);
}

/// Whether the request reached a target, so that another attempt counts as a retry for its service.
bool reached_target(answer_message const& answer) {
    return answer.result != outcome::not_run || answer.code == result_code::target_refused ||
           answer.code == result_code::target_replaced;
}

/// Whether another host is likely to accept what this one refused. An overload refusal is passed on to the
/// caller, since retries would add to the load of an overloaded service.
bool is_retryable_on_another_host(result_code code) {
    return code == result_code::leaving || code == result_code::target_unreachable ||
           code == result_code::node_busy || code == result_code::not_ready ||
           code == result_code::queue_timeout || code == result_code::target_refused ||
           code == result_code::target_replaced || code == result_code::passed_on || is_paced_refusal(code);
}

/// Whether another attempt of an idempotent request is likely to succeed. A crash is not retried: if the
/// request caused it, the next target would crash as well.
bool is_retryable_if_idempotent(result_code code) {
    return code == result_code::peer_lost || code == result_code::answer_lost ||
           code == result_code::target_malformed;
}

/// The service that runs a request of the route; `random` selects one by weight where traffic is split.
std::string const& choose_service(route const& matched, std::uint64_t random) {
    double total = 0;
    for (auto const& part : matched.split) {
        total += part.weight;
    }
    double position = selection_position(random) * total;
    for (auto const& part : matched.split) {
        if (position < part.weight) {
            return part.service;
        }
        position -= part.weight;
    }
    return matched.service;
}

/// How long a request is expected to last at most. One that may be repeated can be sent again where it lasts
/// longer; of any other the caller would never learn the outcome.
duration expected_span(listener_request const& request, route const& matched) {
    constexpr double unrepeatable_factor = 1.5;
    double const limit =
        request.timeout_ms > 0 ? std::min(request.timeout_ms, matched.deadline_ms) : matched.deadline_ms;
    double const objective = matched.latency_objective_ms;
    if (objective <= 0) {
        return duration{limit};
    }
    return duration{std::min(limit, matched.idempotent ? objective : unrepeatable_factor * objective)};
}

selection_request selection_of(pending_call const& call) {
    return {.service = call.service,
            .idempotent = call.idempotent,
            .was_refused_for_limit = call.was_refused_for_limit,
            .refusing_domains = call.refusing_domains,
            .passed_on_by = call.passed_on_by};
}

span make_span(pending_call const& call, answer_message const& answer) {
    span call_span{.trace_id = call.request.trace_id,
                   .span_id = call.request.parent_span,
                   .parent_id = call.parent_span,
                   .name = call.request.method + " " + call.request.route,
                   .kind = call.parent == 0 ? span_kind::server : span_kind::client,
                   .start_nanoseconds = call.arrived_wall_nanoseconds,
                   .end_nanoseconds = wall_clock_nanoseconds(),
                   .failed = answer.result != outcome::ran};
    call_span.attributes = {{"caraway.request_id", call.request.request_id},
                            {"caraway.organisation", call.request.organisation},
                            {"caraway.outcome", std::string(name_of(answer.result))},
                            {"caraway.code", std::string(describe(answer.code).name)},
                            {"caraway.target", call.attempt_host}};
    return call_span;
}

} // namespace

request_router::request_router(node_context& shared, executor& own_executor)
    : context(shared), admission(shared), local_executor(own_executor), selector(shared, own_executor) {}

outcome request_router::unsent_outcome(pending_call const& call) {
    bool const may_have_copies = call.needs_ticket && (call.parent == 0 || call.is_target_retry);
    return may_have_copies ? outcome::not_forwarded : outcome::not_run;
}

void request_router::send_to_listener(listener_side side, listener_answer&& answer) {
    auto& answers = side == listener_side::callers ? this->context.pending_effects.caller_answers
                                                   : this->context.pending_effects.egress_answers;
    answers.push_back(std::move(answer));
}

void request_router::reject_request(listener_request const& request, result_code code, time_point) {
    auto const& entry = describe(code);
    // The request may have been run under this ticket through another node, so not_run would be wrong.
    auto const result = request.idempotency_key.empty() ? outcome::not_run : outcome::not_forwarded;
    this->context.node_metrics.count_answer(result, code);
    listener_answer answer{
        .id = request.id, .status = entry.http_status, .body = std::string(entry.name) + "\n"};
    answer.metadata =
        answer_metadata{.result = result,
                        .code = code,
                        .request_id = request.request_id,
                        .retry_after_ms = entry.http_status == 503 ? overload_retry_after_ms : 0};
    this->context.pending_effects.log(
        log_level::info, "request_rejected",
        {{"request_id", request.request_id}, {"code", std::string(entry.name)}});
    this->send_to_listener(request.side, std::move(answer));
}

void request_router::on_request(listener_request&& request, time_point now) {
    if (this->context.configuration == nullptr || this->context.phase == node_phase::starting) {
        return this->reject_request(request, result_code::not_ready, now);
    }
    if (this->calls.size() >= this->context.options.max_requests) {
        return this->reject_request(request, result_code::node_busy, now);
    }
    auto const* matched =
        this->context.configuration->find_route(request.method, request.authority, request.path);
    if (matched == nullptr) {
        return this->reject_request(request, result_code::route_unknown, now);
    }
    if (!request.context_token.empty()) {
        auto* parent = request.side == listener_side::egress
                           ? this->local_executor.find_by_token(request.context_token)
                           : nullptr;
        if (parent == nullptr) {
            return this->reject_request(request, result_code::context_unknown, now);
        }
        return this->start_nested_call(std::move(request), *matched, *parent, now);
    }
    bool const may_be_nested = this->context.options.egress_correlation == call_correlation::deadline &&
                               matched->allows_anonymous && request.key_sha256.empty() &&
                               request.timeout_ms > 0;
    if (may_be_nested) {
        duration const timeout{request.timeout_ms};
        auto const call_deadline = request.arrived.sent(timeout) + timeout;
        if (auto* parent = this->local_executor.find_by_deadline(call_deadline)) {
            return this->start_inferred_call(std::move(request), *matched, parent, now);
        }
        // A nested call's deadline never exceeds that of the request it is made for, but may be earlier.
        // A node that drains can't tell a late caller from its target, so that what could outlast the drain
        // is refused.
        auto const limit = duration{std::min(request.timeout_ms, matched->deadline_ms)};
        bool const may_be_call = this->local_executor.has_execution_past(call_deadline);
        if (may_be_call && this->context.has_time_for(limit, now)) {
            return this->start_inferred_call(std::move(request), *matched, nullptr, now);
        }
    }
    auto const* owner = this->context.configuration->find_organisation_by_key(request.key_sha256);
    if (owner == nullptr && !matched->allows_anonymous) {
        bool const missing = request.key_sha256.empty();
        return this->reject_request(request, missing ? result_code::key_missing : result_code::key_unknown,
                                    now);
    }
    this->start_root_call(std::move(request), *matched, owner == nullptr ? "" : owner->name, now);
}

pending_call request_router::make_call(listener_request&& request, route const& matched, time_point now) {
    pending_call call{.id = this->next_id++, .side = request.side, .listener_request_id = request.id};
    call.service = choose_service(matched, random_number());
    call.idempotent = matched.idempotent;
    call.needs_ticket = !matched.idempotent && matched.requires_ticket;
    call.request.idempotent = matched.idempotent;
    call.request.authority = std::move(request.authority);
    call.request.calling_service = this->context.options.service;
    call.arrived = now;
    call.arrived_wall_nanoseconds = wall_clock_nanoseconds();
    call.request.route = matched.name;
    call.request.method = std::move(request.method);
    call.request.path = std::move(request.path);
    call.request.headers = std::move(request.headers);
    call.request.body = std::move(request.body);
    call.request.request_id =
        request.request_id.empty() ? random_hex_digits(16) : std::move(request.request_id);
    call.request.priority = static_cast<std::uint8_t>(matched.priority);
    call.request.parent_span = trace_context::new_span_id();
    double const wanted = request.timeout_ms > 0 ? request.timeout_ms : matched.deadline_ms;
    duration const limit{std::min(wanted, matched.deadline_ms)};
    auto const sent = request.arrived.sent(limit);
    call.deadline = sent + limit;
    call.objective =
        matched.latency_objective_ms > 0 ? sent + duration{matched.latency_objective_ms} : call.deadline;
    return call;
}

void request_router::start_root_call(listener_request&& request, route const& matched,
                                     std::string const& organisation, time_point now) {
    auto const longest = expected_span(request, matched);
    if (this->context.has_stopped_admitting(now) || !this->context.has_time_for(longest, now)) {
        return this->reject_request(request, result_code::leaving, now);
    }
    auto const trace = trace_context::from_header(request.traceparent);
    auto const ticket_text = request.idempotency_key;
    auto call = this->make_call(std::move(request), matched, now);
    call.request.organisation = organisation;
    call.request.trace_id = trace.trace_id;
    call.parent_span = trace.span_id;
    call.request.selection_hash = fast_hash(call.request.request_id);
    call.allowance = retry_allowance(matched.retry_allowance);
    if (call.needs_ticket && !this->check_ticket(call, ticket_text, now)) {
        return;
    }
    this->admit(std::move(call), now);
}

void request_router::start_nested_call(listener_request&& request, route const& matched, execution& parent,
                                       time_point now) {
    if (parent.request.depth + 1 >= max_call_depth) {
        return this->reject_request(request, result_code::request_malformed, now);
    }
    if (parent.request.organisation.empty() && !matched.allows_anonymous) {
        // The request that is being served came without a key, so the call has no organisation.
        return this->reject_request(request, result_code::key_missing, now);
    }
    auto const idempotency_key = request.idempotency_key;
    auto call = this->make_call(std::move(request), matched, now);
    call.parent = parent.id;
    call.idempotency_key = idempotency_key;
    call.deadline = std::min(call.deadline, parent.deadline);
    call.request.organisation = parent.request.organisation;
    call.request.request_id = parent.request.request_id;
    call.request.is_nested_call = true;
    call.request.selection_hash = parent.request.selection_hash;
    call.request.priority = parent.request.priority;
    call.request.depth = static_cast<std::uint8_t>(parent.request.depth + 1);
    call.request.trace_id = parent.request.trace_id;
    call.parent_span = parent.span_id;
    if (this->context.admits_by_cost()) {
        this->local_executor.accounting().charge(call.request, &parent.request);
        this->local_executor.accounting().record_call(call.request.route, parent.request.route, now);
    }
    this->local_executor.add_child_call(parent, call.id, now);
    this->by_listener_request[{call.side, call.listener_request_id}] = call.id;
    auto const id = call.id;
    auto& stored = this->calls.emplace(id, std::move(call)).first->second;
    this->context.organisation_retries.record_first_attempt(stored.request.organisation);
    this->context.service_retries.record_first_attempt(stored.service);
    this->dispatch(stored, now);
}

void request_router::start_inferred_call(listener_request&& request, route const& matched, execution* parent,
                                         time_point now) {
    if (parent != nullptr && parent->request.depth + 1 >= max_call_depth) {
        return this->reject_request(request, result_code::request_malformed, now);
    }
    auto call = this->make_call(std::move(request), matched, now);
    call.allowance = retry_allowance(matched.retry_allowance);
    call.request.is_nested_call = true;
    call.request.depth = 1;
    call.request.selection_hash = fast_hash(call.request.request_id);
    if (parent != nullptr) {
        call.inferred_parent = parent->id;
        call.request.selection_hash = parent->request.selection_hash;
        call.request.priority = parent->request.priority;
        call.request.depth = static_cast<std::uint8_t>(parent->request.depth + 1);
        call.request.trace_id = parent->request.trace_id;
        call.parent_span = parent->span_id;
        this->local_executor.note_call_started(*parent, now);
    }
    if (this->context.admits_by_cost()) {
        this->charge_call(call.request, parent, now);
    }
    this->by_listener_request[{call.side, call.listener_request_id}] = call.id;
    auto const id = call.id;
    this->dispatch(this->calls.emplace(id, std::move(call)).first->second, now);
}

void request_router::charge_call(forward_message& call, execution const* parent, time_point now) {
    auto& accounting = this->local_executor.accounting();
    auto const* charged =
        parent != nullptr ? parent : this->local_executor.find(accounting.draw_parent(call.route));
    accounting.charge(call, charged == nullptr ? nullptr : &charged->request);
    accounting.record_call(call.route, "", now);
}

bool request_router::check_ticket(pending_call& call, std::string const& text, time_point now) {
    if (text.empty()) {
        this->issue_ticket(call, result_code::ticket_required, outcome::not_run, now);
        return false;
    }
    auto const parsed = ticket::try_parse(text, this->context.options.fleet_secret);
    bool const bound =
        parsed && parsed->binding == ticket::binding_of(call.request.organisation, call.request.route);
    if (!bound) {
        this->finish_with_error(call, {result_code::ticket_invalid}, now);
        return false;
    }
    call.parsed_ticket = parsed;
    call.request.ticket = text;
    return true;
}

std::optional<ticket> request_router::make_ticket(pending_call const& call, time_point now) {
    auto const host = this->selector.choose(selection_of(call), now);
    if (!host) {
        return std::nullopt;
    }
    auto const report = host->host == this->context.options.host
                            ? this->context.make_own_report()
                            : this->context.peers.find(host->host)->report;
    return ticket::create(host->host, report.incarnation, report.ticket_window,
                          ticket::binding_of(call.request.organisation, call.request.route));
}

void request_router::issue_ticket(pending_call const& call, result_code code, outcome result,
                                  time_point now) {
    auto const issued_ticket = this->make_ticket(call, now);
    auto const reported_code = issued_ticket ? code : result_code::no_target;
    auto const& entry = describe(reported_code);
    this->context.node_metrics.count_answer(result, reported_code);
    listener_answer answer{
        .id = call.listener_request_id, .status = entry.http_status, .body = std::string(entry.name) + "\n"};
    answer.metadata = answer_metadata{.result = result,
                                      .code = reported_code,
                                      .request_id = call.request.request_id,
                                      .retry_after_ms = issued_ticket ? 0 : overload_retry_after_ms};
    if (issued_ticket) {
        answer.metadata->ticket = issued_ticket->to_text(this->context.options.fleet_secret);
    }
    this->send_to_listener(call.side, std::move(answer));
}

void request_router::admit(pending_call&& call, time_point now) {
    auto const decision = this->admission.decide(call.request, call.service, now);
    if (!decision.admitted) {
        call.limited = decision.limited;
        double retry_after_ms = overload_retry_after_ms;
        if (this->context.admits_by_cost()) {
            retry_after_ms = entry_admission::return_delay(call.request, decision, call.deadline - now,
                                                           selection_position(random_number()))
                                 .milliseconds;
        }
        return this->finish_with_error(call, {result_code::overloaded, retry_after_ms}, now);
    }
    if (this->context.admits_by_cost()) {
        call.request.charged_organisation = call.request.organisation;
        call.request.charged_priority = call.request.priority;
        call.request.offered_weight = decision.offered_weight;
    }
    auto const id = call.id;
    this->by_listener_request[{call.side, call.listener_request_id}] = id;
    auto& stored = this->calls.emplace(id, std::move(call)).first->second;
    auto const* owner = this->context.configuration->find_organisation(stored.request.organisation);
    bool const limited =
        owner != nullptr && owner->is_limited() && this->context.options.mode != control_mode::off;
    if (!limited) {
        return this->dispatch(stored, now);
    }
    if (this->context.options.mode == control_mode::per_host) {
        if (this->acquire_per_host_token(stored.request.organisation, now)) {
            return this->dispatch(stored, now);
        }
        return this->finish_with_error(stored, {result_code::rate_exceeded, min_retry_after_ms}, now);
    }
    if (this->context.local_rates.try_consume(stored.request.organisation, now)) {
        return this->dispatch(stored, now);
    }
    auto& queue = this->waiting_by_organisation[stored.request.organisation];
    if (this->context.rate_leases.try_admit(stored.request.organisation, queue.size(), now)) {
        return this->dispatch(stored, now);
    }
    bool const is_rate_exhausted = queue.size() >= max_waiting_requests ||
                                   this->context.rate_leases.is_exhausted(stored.request.organisation, now);
    if (is_rate_exhausted) {
        return this->refuse_for_rate(stored, now);
    }
    stored.waiting_since = now;
    queue.push_back(id);
}

void request_router::refuse_for_rate(pending_call& call, time_point now) {
    auto const wait = this->context.rate_leases.time_until_token(call.request.organisation, now).milliseconds;
    this->finish_with_error(call, {result_code::rate_exceeded, std::max(min_retry_after_ms, wait)}, now);
}

bool request_router::acquire_per_host_token(std::string const& organisation, time_point now) {
    auto const* known = this->context.configuration->find_organisation(organisation);
    if (known == nullptr) {
        return false;
    }
    auto const hosts = static_cast<double>(std::max<std::size_t>(1, this->context.peers.listed_count()));
    auto const [entry, inserted] = this->per_host_pools.try_emplace(organisation, now - duration{60'000});
    entry->second.set_limit(known->rate / hosts, std::max(1.0, known->burst / hosts), now);
    if (entry->second.available(now) < one_token) {
        return false;
    }
    auto const token_lease = this->next_call_id++;
    entry->second.grant(token_lease, one_token, now, now + max_waiting_time);
    entry->second.record_usage({token_lease, one_token, 0}, now);
    return true;
}

void request_router::process_waiting_requests(time_point now) {
    for (auto& [organisation, queue] : this->waiting_by_organisation) {
        while (!queue.empty()) {
            auto const found = this->calls.find(queue.front());
            bool const is_over = found == this->calls.end() ||
                                 found->second.stage != pending_call::call_stage::waiting_for_rate_token;
            if (is_over) {
                queue.pop_front();
                continue;
            }
            if (this->context.rate_leases.try_admit_waiting(organisation, now)) {
                queue.pop_front();
                this->dispatch(found->second, now);
                continue;
            }
            auto const next_token_at =
                this->context.rate_leases.is_exhausted(organisation, now)
                    ? now + this->context.rate_leases.time_until_token(organisation, now)
                    : now;
            auto const give_up_at =
                std::min(found->second.waiting_since + max_token_waiting_time, found->second.deadline);
            if (next_token_at < give_up_at) {
                break;
            }
            queue.pop_front();
            this->refuse_for_rate(found->second, now);
        }
    }
    std::erase_if(this->waiting_by_organisation, [](auto const& entry) { return entry.second.empty(); });
}

std::unordered_map<std::string, std::size_t> request_router::count_waiting_for_rate_token() const {
    std::unordered_map<std::string, std::size_t> counts;
    for (auto const& [organisation, queue] : this->waiting_by_organisation) {
        counts[organisation] = queue.size();
    }
    return counts;
}

bool request_router::is_ticket_host_gone(pending_call const& call) const {
    if (call.parsed_ticket->host == this->context.options.host) {
        return call.parsed_ticket->incarnation != this->context.incarnation;
    }
    auto const* peer = this->context.peers.find(call.parsed_ticket->host);
    return peer == nullptr || (!peer->listed && !this->context.peers.is_connected(peer->entry.host)) ||
           (peer->has_report && peer->report.incarnation != call.parsed_ticket->incarnation);
}

void request_router::dispatch(pending_call& call, time_point now) {
    if (call.stage == pending_call::call_stage::waiting_for_rate_token) {
        call.stage = pending_call::call_stage::waiting_for_link;
        call.waiting_since = now;
        if (call.parent == 0) {
            this->context.organisation_retries.record_first_attempt(call.request.organisation);
            this->context.service_retries.record_first_attempt(call.service);
        }
    }
    std::optional<std::string> host;
    if (call.parsed_ticket) {
        if (this->is_ticket_host_gone(call)) {
            return this->finish_call(
                call, {.result = outcome::unknown, .code = result_code::incarnation_gone}, now);
        }
        host = call.parsed_ticket->host;
        this->context.peers.request_link(*host, now);
    } else if (call.needs_ticket) {
        this->assign_nested_ticket(call, now);
        host = call.parsed_ticket ? std::optional(call.parsed_ticket->host) : std::nullopt;
    } else {
        if (auto const chosen = this->selector.choose(selection_of(call), now)) {
            host = chosen->host;
            call.pass_on_above = chosen->pass_on_above;
        }
    }
    if (host) {
        return this->send_attempt(call, *host, now);
    }
    if (now - call.waiting_since >= max_waiting_time) {
        this->finish_with_error(call, {result_code::no_target, overload_retry_after_ms}, now);
    }
}

void request_router::assign_nested_ticket(pending_call& call, time_point now) {
    auto* parent = this->local_executor.find(call.parent);
    bool const has_key = parent != nullptr && !call.idempotency_key.empty();
    if (has_key) {
        auto const known = parent->tickets_by_key.find(call.idempotency_key);
        if (known != parent->tickets_by_key.end()) {
            // The target retries a call; under the same ticket it runs at most once.
            call.request.ticket = known->second;
            call.parsed_ticket = ticket::try_parse(known->second, this->context.options.fleet_secret);
            call.is_target_retry = true;
            return;
        }
    }
    call.parsed_ticket = this->make_ticket(call, now);
    if (!call.parsed_ticket) {
        return;
    }
    call.request.ticket = call.parsed_ticket->to_text(this->context.options.fleet_secret);
    if (has_key) {
        parent->tickets_by_key[call.idempotency_key] = call.request.ticket;
    }
}

retry_allowance& request_router::allowance_of(pending_call& call) {
    auto* parent = call.parent == 0 ? nullptr : this->local_executor.find(call.parent);
    return parent == nullptr ? call.allowance : parent->allowance;
}

void request_router::send_attempt(pending_call& call, std::string const& host, time_point now) {
    auto const time_left = call.deadline - now;
    call.request.call_id = this->next_call_id;
    call.request.deadline_ms =
        time_left.milliseconds - (host == this->context.options.host ? 0 : hop_reserve_ms);
    if (call.request.deadline_ms <= 0) {
        return;
    }
    auto& allowance = this->allowance_of(call);
    int const allowance_part = allowance.reserve_for_call();
    call.request.allowance = static_cast<std::uint8_t>(allowance_part);
    call.request.instance = this->selector.instance_of(host);
    // It is passed on once at most, so that it can't go round.
    call.request.pass_on_above_ms =
        call.passed_on_by.empty() ? static_cast<std::uint32_t>(call.pass_on_above.milliseconds) : 0;
    // The request is copied rather than moved, since it may have to be sent again.
    bool const sent = this->context.send_to_host(host, call.request, now, 0, &call.connection);
    if (!sent) {
        allowance.return_unused(allowance_part, allowance_part);
        if (call.was_sent && now - call.waiting_since >= unreachable_host_timeout) {
            this->finish_with_error(call, {result_code::peer_lost}, now);
        } else if (!call.was_sent && now - call.waiting_since >= max_waiting_time) {
            this->finish_with_error(call, {result_code::no_target, overload_retry_after_ms}, now);
        }
        return;
    }
    ++this->next_call_id;
    call.sent_allowance = allowance_part;
    call.attempt_host = host;
    call.call_id = call.request.call_id;
    call.sent = now;
    call.was_sent = true;
    call.stage = pending_call::call_stage::in_flight;
    this->by_call_id[call.call_id] = call.id;
    this->context.chooser.record_sent(host, now);
    this->context.targets.record_sent(this->selector.target_of(host), now);
}

void request_router::record_reports(pending_call const& call, std::string const& from,
                                    answer_message const& answer, time_point now) {
    this->context.record_report(from, answer.report, now);
    if (is_paced_refusal(answer.code)) {
        this->context.targets.record_refusal(this->selector.target_of(from), now);
    }
    if (this->context.admits_by_cost()) {
        return this->admission.record_room(from, call.request.route, answer, now);
    }
    // A host whose target has stated a limit refuses what the other targets of the service may still accept.
    bool const others_have_room = (answer.report.target_is_limited || answer.report.target_cold_ms > 0) &&
                                  this->selector.has_target_with_room(selection_of(call), now);
    this->admission.record_reports(
        call.request, answer.admissions,
        {.service_to_skip = others_have_room ? call.service : "",
         .parent = this->local_executor.find(call.parent != 0 ? call.parent : call.inferred_parent)},
        now);
}

bool request_router::try_acquire_retry(pending_call& call, answer_message const& answer, time_point now) {
    bool const is_root_ticket = call.needs_ticket && call.parent == 0;
    // The caller may send its ticket again; a retry elsewhere under a new ticket could then run it twice.
    if (is_root_ticket || call.caller_disconnected || now >= latest_start(call.arrived, call.deadline)) {
        return false;
    }
    bool const refused_elsewhere =
        answer.result == outcome::not_run && is_retryable_on_another_host(answer.code);
    bool const lost = call.idempotent && is_retryable_if_idempotent(answer.code);
    if (answer.code == result_code::domain_evacuated) {
        // Nothing reached a target, and each failure domain refuses a call at most once.
        call.refusing_domains.push_back(this->selector.domain_of(call.attempt_host));
        return answer.result == outcome::not_run && this->selector.has_candidate(selection_of(call), now);
    }
    if (!refused_elsewhere && !lost) {
        return false;
    }
    auto& allowance = this->allowance_of(call);
    if (is_paced_refusal(answer.code)) {
        // Nothing reached a target, so that the budgets against repeats are not charged.
        call.was_refused_for_limit = true;
        return this->selector.has_target_with_room(selection_of(call), now) && allowance.try_consume();
    }
    if (answer.code == result_code::passed_on) {
        bool const is_first = call.passed_on_by.empty();
        call.passed_on_by = call.attempt_host;
        return is_first;
    }
    auto const useful_until = std::min(call.deadline, call.objective);
    if (lost && !this->selector.is_answered_within(selection_of(call), useful_until - now, now)) {
        return false;
    }
    if (allowance.remaining() <= 0 ||
        !this->context.organisation_retries.try_consume(call.request.organisation)) {
        return false;
    }
    if (reached_target(answer) && !this->context.service_retries.try_consume(call.service)) {
        return false;
    }
    return allowance.try_consume();
}

void request_router::on_answer(std::string const& from, answer_message&& answer, time_point now) {
    auto const found = this->by_call_id.find(answer.call_id);
    if (found == this->by_call_id.end()) {
        return;
    }
    auto& call = this->calls.at(found->second);
    if (call.attempt_host != from) {
        return;
    }
    this->by_call_id.erase(found);
    reject_invalid_status(answer);
    if (answer.body_was_dropped) {
        answer.result = outcome::ran;
        answer.code = result_code::answer_dropped;
        answer.headers.clear();
    }
    if (answer.code == result_code::domain_evacuated || answer.body_was_dropped) {
        this->context.chooser.record_abandoned(from); // Its target had no part in it.
    } else {
        this->context.chooser.record_answer(from, now - call.sent, is_failure(answer), is_refusal(answer),
                                            now);
    }
    if (from != this->context.options.host) {
        this->context.chooser.record_link_delay(from, now - call.sent - duration{answer.held_ms}, now);
    }
    this->record_reports(call, from, answer, now);
    this->allowance_of(call).return_unused(answer.allowance_left, call.sent_allowance);
    call.sent_allowance = 0;
    if (!this->try_acquire_retry(call, answer, now)) {
        return this->finish_call(call, std::move(answer), now);
    }
    call.may_have_run = call.may_have_run || answer.result != outcome::not_run;
    this->context.node_metrics.increment_counter(answer.code == result_code::passed_on ? "passed_on"
                                                                                       : "retries");
    if (call.parsed_ticket && call.parent != 0) {
        if (auto* parent = this->local_executor.find(call.parent)) {
            parent->tickets_by_key.erase(call.idempotency_key);
        }
        call.parsed_ticket.reset();
        call.request.ticket.clear();
    }
    call.stage = pending_call::call_stage::waiting_for_link;
    call.waiting_since = now;
    this->dispatch(call, now);
}

bool request_router::is_under_way_on(pending_call const& call, connection_id connection) const {
    return call.stage == pending_call::call_stage::in_flight && call.connection == connection &&
           connection != 0 && call.attempt_host != this->context.options.host;
}

bool request_router::has_call_on(connection_id connection) const {
    return std::ranges::any_of(this->calls, [this, connection](auto const& entry) {
        return this->is_under_way_on(entry.second, connection);
    });
}

void request_router::on_connection_lost(connection_id connection, time_point now) {
    std::vector<std::uint64_t> affected;
    for (auto const& [id, call] : this->calls) {
        if (this->is_under_way_on(call, connection)) {
            affected.push_back(id);
        }
    }
    for (auto const id : affected) {
        auto& call = this->calls.at(id);
        this->by_call_id.erase(call.call_id);
        if (call.parsed_ticket && call.resends < max_resends) {
            // One incarnation runs a ticket at most once, so sending it there again is safe.
            ++call.resends;
            this->context.chooser.record_abandoned(call.attempt_host);
            call.stage = pending_call::call_stage::waiting_for_link;
            call.connection = 0;
            call.waiting_since = now;
            continue;
        }
        answer_message lost{.result = outcome::unknown, .code = result_code::peer_lost};
        this->context.chooser.record_answer(call.attempt_host, now - call.sent, true, false, now);
        // The lost host may have spent the part of the allowance sent to it, so it is not returned.
        call.sent_allowance = 0;
        if (!this->try_acquire_retry(call, lost, now)) {
            this->finish_call(call, std::move(lost), now);
            continue;
        }
        call.may_have_run = true;
        this->context.node_metrics.increment_counter("retries");
        call.stage = pending_call::call_stage::waiting_for_link;
        call.waiting_since = now;
        this->dispatch(call, now);
    }
}

void request_router::finish_with_error(pending_call& call, call_error error, time_point now) {
    this->finish_call(call,
                      {.result = call.was_sent ? outcome::unknown : unsent_outcome(call),
                       .code = error.code,
                       .retry_after_ms = error.retry_after_ms},
                      now);
}

listener_answer request_router::make_reply(pending_call const& call, answer_message&& answer,
                                           time_point now) {
    auto const& entry = describe(answer.code);
    listener_answer reply{.id = call.listener_request_id,
                          .status = answer.code == result_code::ok ? answer.status : entry.http_status,
                          .headers = std::move(answer.headers),
                          .body = std::move(answer.body)};
    if (answer.code != result_code::ok) {
        reply.body = std::string(entry.name) + "\n";
    }
    reply.metadata = answer_metadata{.result = answer.result,
                                     .code = answer.code,
                                     .request_id = call.request.request_id,
                                     .retry_after_ms = answer.retry_after_ms};
    bool const is_refused_ticket = call.needs_ticket && call.parent == 0 && answer.result == outcome::not_run;
    if (is_refused_ticket) {
        // The refusal has used up the old ticket; with a new one the caller can retry at once.
        if (auto const issued_ticket = this->make_ticket(call, now)) {
            reply.metadata->ticket = issued_ticket->to_text(this->context.options.fleet_secret);
        }
    }
    return reply;
}

std::string request_router::evacuated_domains() const {
    std::string names;
    for (auto const& [name, entry] : this->context.evacuations.in_force()) {
        names += (names.empty() ? "" : ",") + name;
    }
    return names;
}

std::string request_router::describe_rate_pools(std::string const& organisation, time_point now) const {
    std::string text;
    for (auto const& answer : this->context.rate_leases.last_shortage(organisation)) {
        auto const age = std::llround((now - answer.answered).milliseconds);
        auto const next = std::llround((answer.answered + answer.next_token - now).milliseconds);
        text += (text.empty() ? "" : "; ") + answer.domain + "#" + std::to_string(answer.shard) + " at " +
                answer.host + " " + std::string(name_of(answer.reason)) + " " + std::to_string(age) +
                " ms ago";
        if (answer.next_token > duration{0}) {
            text += ", next token in " + std::to_string(next) + " ms";
        }
    }
    return text;
}

void request_router::log_unanswered(pending_call const& call, answer_message const& answer, time_point now) {
    auto const target = this->selector.target_of(call.attempt_host);
    auto const limit = this->context.targets.rate_limit(target);
    auto const cold = this->context.targets.cold_for(target, now);
    auto const rounded = [](double milliseconds) { return std::to_string(std::llround(milliseconds)); };
    auto const rate_pools = answer.code == result_code::rate_exceeded
                                ? this->describe_rate_pools(call.request.organisation, now)
                                : "";
    this->context.pending_effects.log(
        log_level::info, "request_ended",
        {{"request_id", call.request.request_id},
         {"route", call.request.route},
         {"service", call.service},
         {"organisation", call.request.organisation},
         {"code", std::string(describe(answer.code).name)},
         {"outcome", std::string(name_of(answer.result))},
         {"host", call.attempt_host},
         {"held_ms", rounded((now - call.arrived).milliseconds)},
         {"left_ms", rounded((call.deadline - now).milliseconds)},
         {"retry_after_ms", rounded(answer.retry_after_ms)},
         {"target_limit", limit ? rounded(*limit) : ""},
         {"evacuated", this->evacuated_domains()},
         {"rate_pools", rate_pools},
         {"target_cold_ms", cold.milliseconds > 0 ? rounded(cold.milliseconds) : ""},
         {"room_service", call.limited.service},
         {"room_fraction", call.limited.service.empty() ? "" : std::to_string(call.limited.fraction)},
         {"cost_ms", call.limited.service.empty() ? "" : rounded(call.limited.cost)},
         {"room_reason", call.limited.service.empty() ? ""
                         : call.limited.is_refusing   ? "service_refuses"
                                                      : "room_short"},
         {"class", std::to_string(call.request.priority)},
         {"room_age_ms", call.limited.service.empty() ? "" : rounded(call.limited.age.milliseconds)},
         {"attempts_left", std::to_string(call.allowance.remaining())},
         {"configuration", std::to_string(this->context.configuration->revision())}});
}

void request_router::record_outcome(pending_call const& call, answer_message const& answer, time_point now) {
    bool const is_root = call.parent == 0 && !call.request.is_nested_call;
    bool const is_late = answer.code == result_code::deadline_passed && call.was_sent;
    if (is_root && (is_late || answer.code == result_code::ok)) {
        this->admission.record_outcome(call.request.route,
                                       !is_late && answer.status < first_server_error_status, now);
    }
}

void request_router::finish_call(pending_call& call, answer_message&& answer, time_point now) {
    if (call.may_have_run && answer.result == outcome::not_run) {
        answer.result = outcome::unknown; // Only the last attempt has not run.
    }
    this->record_outcome(call, answer, now);
    this->context.node_metrics.count_answer(answer.result, answer.code);
    this->context.node_metrics.observe(latency_metric::request, now - call.arrived);
    if (this->context.options.exports_spans()) {
        this->context.pending_effects.spans.push_back(make_span(call, answer));
    }
    if (answer.code != result_code::ok) {
        this->log_unanswered(call, answer, now);
    }
    auto reply = this->make_reply(call, std::move(answer), now);
    if (!call.caller_disconnected) {
        this->send_to_listener(call.side, std::move(reply));
    }
    this->remove_from_indexes(call.id);
    if (auto* parent = call.parent == 0 ? nullptr : this->local_executor.find(call.parent)) {
        this->local_executor.remove_child_call(*parent, call.id, now);
    }
    if (auto* parent =
            call.inferred_parent == 0 ? nullptr : this->local_executor.find(call.inferred_parent)) {
        this->local_executor.note_call_ended(*parent, now);
    }
    this->calls.erase(call.id);
}

void request_router::remove_from_indexes(std::uint64_t id) {
    auto const found = this->calls.find(id);
    if (found == this->calls.end()) {
        return;
    }
    this->by_listener_request.erase({found->second.side, found->second.listener_request_id});
    this->by_call_id.erase(found->second.call_id);
}

void request_router::cancel_attempt(pending_call& call, time_point now) {
    if (call.stage != pending_call::call_stage::in_flight) {
        return;
    }
    this->context.send_to_host(call.attempt_host, cancel_message{call.call_id}, now, call.connection);
    if (this->by_call_id.contains(call.call_id)) {
        this->context.chooser.record_abandoned(call.attempt_host);
    }
}

void request_router::on_disconnect(listener_side side, std::uint64_t listener_request_id, time_point now) {
    auto const found = this->by_listener_request.find({side, listener_request_id});
    if (found != this->by_listener_request.end()) {
        this->cancel_call(found->second, now);
    }
}

void request_router::cancel_call(std::uint64_t id, time_point now) {
    auto const found = this->calls.find(id);
    if (found == this->calls.end()) {
        return;
    }
    auto& call = found->second;
    call.caller_disconnected = call.caller_disconnected || call.parent == 0;
    this->cancel_attempt(call, now);
    this->finish_call(
        call,
        {.result = call.was_sent ? outcome::unknown : unsent_outcome(call), .code = result_code::cancelled},
        now);
}

void request_router::end_all(time_point now) {
    std::vector<std::uint64_t> live;
    for (auto const& [id, call] : this->calls) {
        live.push_back(id);
    }
    for (auto const id : live) {
        auto& call = this->calls.at(id);
        bool const may_run = call.stage == pending_call::call_stage::in_flight || call.may_have_run;
        this->cancel_attempt(call, now);
        this->finish_call(call,
                          {.result = may_run ? outcome::unknown : unsent_outcome(call),
                           .code = may_run ? result_code::host_stopped : result_code::leaving,
                           .retry_after_ms = may_run ? 0 : overload_retry_after_ms},
                          now);
    }
}

void request_router::run_periodic_tasks(time_point now) {
    for (auto const orphan : this->local_executor.take_orphaned_calls()) {
        this->cancel_call(orphan, now);
    }
    this->process_waiting_requests(now);
    std::vector<std::uint64_t> overdue;
    std::vector<std::uint64_t> unsent;
    for (auto const& [id, call] : this->calls) {
        if (now >= call.deadline) {
            overdue.push_back(id);
        } else if (call.stage == pending_call::call_stage::waiting_for_link) {
            unsent.push_back(id);
        }
    }
    for (auto const id : overdue) {
        auto& call = this->calls.at(id);
        this->cancel_attempt(call, now);
        this->finish_with_error(call, {result_code::deadline_passed}, now);
    }
    for (auto const id : unsent) {
        auto const found = this->calls.find(id);
        if (found != this->calls.end()) {
            this->dispatch(found->second, now);
        }
    }
}

} // namespace caraway
