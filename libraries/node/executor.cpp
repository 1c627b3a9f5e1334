#include "node/executor.hpp"

#include "base/digest.hpp"
#include "policy/latest_start.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace caraway {

namespace {

constexpr std::size_t token_bytes = 16;
/// Queue capacity for each slot of the target.
constexpr double queue_places_per_slot = 2.0;
/// The same for calls of requests that other targets are already working on: a request on the users' platform
/// makes up to ten such calls, and fails when one of them is refused. Ten runs per slot fit the queue's age
/// limit where a run takes about ten milliseconds; where runs take longer, the age limit applies first.
constexpr double nested_queue_places_per_slot = 10.0;
/// The same where entry nodes know the room: a request waits at each of its calls, so that long waits make it
/// late.
constexpr double short_nested_queue_places_per_slot = 5.0;
constexpr std::size_t min_queue_capacity = 8;
/// HTTP status codes from here on are server errors.
constexpr std::uint16_t first_server_error_status = 500;
constexpr std::uint16_t busy_status = 503;
constexpr double refusal_retry_after_ms = 500;
constexpr double max_reported_ms = 60'000;
/// A request that ran for this multiple of the usual time until its deadline counts as a failure of the
/// target.
constexpr double overdue_factor = 3;
constexpr double permille = 1000;
/// The target's timeout exceeds the caller's deadline by this much, so that the deadline always ends a
/// request first.
constexpr duration target_grace{50};

/// The time left that a target states on a call is that of the request it is serving. Transmission time and
/// the clocks on both sides change it by less than this.
constexpr duration deadline_tolerance{25};
constexpr std::size_t max_waiting_suspects = 64;
/// Steps of a millisecond in which answers say how long a request was held; the codec writes these shorter.
constexpr double held_time_steps = 4;
/// Answers lost within this time after a suspect crashed the target are attributed to the same crash.
constexpr duration same_crash_window{500};

} // namespace

executor::executor(node_context& shared, time_point started)
    : context(shared), local_target(shared, started), limiter(1), load(shared), queue(min_queue_capacity),
      tickets(started) {
    this->queue.set_critical_first(shared.admits_by_cost());
}

int executor::limit_without_warm_up() const {
    return this->context.has_full_control() ? this->limiter.limit() : this->slots;
}

int executor::concurrency_limit() const {
    return std::min(this->limit_without_warm_up(), this->local_target.learned().window());
}

int executor::reported_limit() const {
    auto const present = this->running + this->queue.size();
    return std::min(this->limit_without_warm_up(), this->local_target.learned().reported_limit(present));
}

void executor::apply_configuration() {
    auto const* own = this->context.configuration == nullptr
                          ? nullptr
                          : this->context.configuration->find_service(this->context.options.service);
    if (own == nullptr) {
        return;
    }
    int const configured = this->listed_slots > 0 ? this->listed_slots : own->slots;
    this->slots = std::max(1, std::min(configured, own->connections));
    this->limiter.set_slots(this->slots);
    this->local_target.set_slots(this->slots);
}

own_load executor::load_at_target() const {
    return {.running = this->running, .queued = this->queue.size(), .limit = this->concurrency_limit()};
}

void executor::describe_load(host_report& report, time_point now) const {
    auto const whole = [](double value) {
        return static_cast<std::uint32_t>(std::llround(std::clamp(value, 0.0, max_reported_ms)));
    };
    auto const& estimate = this->load_estimate;
    report.expected_wait_ms = whole(estimate.expected_wait(this->load_at_target(), now).milliseconds);
    report.target_work_time_percent = whole(estimate.work_time_percent(now));
    report.target_request_ms = whole(estimate.request_time(now).milliseconds);
    report.target_failure_permille = whole(estimate.failure_fraction(now) * permille);
}

void executor::pass_on_waiting(time_point now) {
    if (!this->context.places_by_wait() || this->queue.size() == 0) {
        return;
    }
    std::vector<std::pair<std::uint64_t, double>> candidates; // Ids with the longest wait in milliseconds.
    for (auto const& [id, work] : this->executions) {
        bool const may_pass = work.stage == execution::state::queued && !work.is_suspect &&
                              work.request.pass_on_above_ms > 0 && work.request.ticket.empty();
        if (may_pass) {
            candidates.emplace_back(id, work.request.pass_on_above_ms);
        }
    }
    std::ranges::sort(candidates, {}, &std::pair<std::uint64_t, double>::second);
    for (auto const& [id, longest] : candidates) {
        auto const ahead = this->queue.size() - 1;
        auto const wait = this->load_estimate.wait_behind(ahead, this->load_at_target(), now).milliseconds;
        if (wait <= longest) {
            break;
        }
        this->queue.remove(id);
        this->refuse(id, result_code::passed_on, now);
    }
}

void executor::update_queue_capacity(time_point now) {
    auto const capacity = [this, now](double places_per_slot, bool is_nested) {
        auto const by_slots =
            std::max(min_queue_capacity, static_cast<std::size_t>(places_per_slot * this->slots));
        if (!this->local_target.is_pacing(now)) {
            return by_slots;
        }
        // What waits behind more requests than the target accepts within the age limit would wait in vain.
        double const accepted_in_time =
            this->local_target.pace(now) * work_queue::age_limit(is_nested).seconds();
        return std::clamp(static_cast<std::size_t>(accepted_in_time), std::size_t{1}, by_slots);
    };
    this->queue.set_capacity(capacity(queue_places_per_slot, false),
                             capacity(this->context.admits_by_cost() ? short_nested_queue_places_per_slot
                                                                     : nested_queue_places_per_slot,
                                      true));
}

bool executor::would_expire_in_queue(queued_work const& work, time_point now) const {
    auto const turn = this->local_target.time_until_token(0, now);
    return turn >= work_queue::age_limit(work.is_nested) || now + turn >= work.deadline;
}

result_code executor::queue_refusal(result_code without_limit, time_point now) const {
    bool const has_free_slot = this->running < static_cast<std::size_t>(this->concurrency_limit());
    return this->local_target.is_pacing(now) && has_free_slot ? this->local_target.pace_refusal(now)
                                                              : without_limit;
}

void executor::set_listed_slots(int count) {
    if (count != this->listed_slots) {
        this->listed_slots = count;
        this->apply_configuration();
    }
}

double executor::weight_of(std::string const& organisation) const {
    auto const* known = this->context.configuration->find_organisation(organisation);
    return known == nullptr ? 1 : known->weight;
}

execution* executor::find(std::uint64_t id) {
    auto const found = this->executions.find(id);
    return found == this->executions.end() ? nullptr : &found->second;
}

execution* executor::find_by_token(std::string const& token) {
    auto const found = this->by_token.find(token);
    return found == this->by_token.end() ? nullptr : this->find(found->second);
}

execution* executor::find_by_deadline(time_point call_deadline) {
    execution* nearest = nullptr;
    duration distance = deadline_tolerance;
    for (auto& [id, work] : this->executions) {
        if (work.stage != execution::state::running) {
            continue;
        }
        auto const apart = std::abs((work.deadline - call_deadline).milliseconds);
        if (apart < distance.milliseconds) {
            nearest = &work;
            distance = {apart};
        }
    }
    return nearest;
}

bool executor::has_execution_past(time_point instant) const {
    return std::ranges::any_of(this->executions, [instant](auto const& entry) {
        return entry.second.stage == execution::state::running && entry.second.deadline > instant;
    });
}

void executor::receive(std::string const& from, connection_id connection, forward_message&& request,
                       arrival const& arrived, time_point now) {
    execution work{.id = this->next_id++, .request = std::move(request)};
    work.waiters.push_back({from, connection, work.request.call_id});
    work.arrived = now;
    duration const time_left{work.request.deadline_ms};
    work.deadline = arrived.sent(time_left) + time_left;
    work.allowance = retry_allowance(work.request.allowance);
    this->local_target.record_sender(from, now);
    if (this->context.configuration == nullptr) {
        return this->refuse_new(work, result_code::not_ready,
                                work.is_idempotent() ? outcome::not_run : outcome::not_forwarded, now);
    }
    if (!work.request.ticket.empty() && !this->claim_ticket(work, now)) {
        return;
    }
    if (this->context.phase != node_phase::serving || this->target_is_leaving()) {
        return this->refuse_new(work, result_code::leaving, outcome::not_run, now);
    }
    if (this->context.is_evacuated()) {
        this->context.node_metrics.increment_counter("evacuation_refusals");
        return this->refuse_new(work, result_code::domain_evacuated, outcome::not_run, now);
    }
    if (this->executions.size() >= this->context.options.max_requests) {
        return this->refuse_new(work, result_code::node_busy, outcome::not_run, now);
    }
    work.fingerprint = quarantine::fingerprint_of(work.request.organisation, work.request.route,
                                                  work.request.path, work.request.body.view());
    auto const verdict = this->context.request_quarantine.verdict_for(work.fingerprint, now);
    if (verdict == quarantine_verdict::refuse) {
        return this->refuse_new(work, result_code::quarantined, outcome::not_run, now);
    }
    work.is_suspect = verdict == quarantine_verdict::isolate;
    if (work.is_suspect && this->waiting_suspects.size() >= max_waiting_suspects) {
        return this->refuse_new(work, result_code::quarantined, outcome::not_run, now);
    }
    this->admit(std::move(work), now);
}

void executor::refuse_unstarted(std::string const& from, connection_id connection, forward_message&& request,
                                result_code code, time_point now) {
    execution work{.request = std::move(request)};
    work.waiters.push_back({from, connection, work.request.call_id});
    work.arrived = now;
    work.allowance = retry_allowance(work.request.allowance);
    // A copy of the ticket may run.
    this->refuse_new(work, code, work.request.ticket.empty() ? outcome::not_run : outcome::not_forwarded,
                     now);
}

bool executor::claim_ticket(execution& work, time_point now) {
    auto const parsed = ticket::try_parse(work.request.ticket, this->context.options.fleet_secret);
    bool const bound =
        parsed && parsed->binding == ticket::binding_of(work.request.organisation, work.request.route);
    if (!bound) {
        this->refuse_new(work, result_code::ticket_invalid, outcome::not_forwarded, now);
        return false;
    }
    bool const is_for_this_process =
        parsed->host == this->context.options.host && parsed->incarnation == this->context.incarnation;
    if (!is_for_this_process) {
        this->refuse_new(work, result_code::incarnation_gone, outcome::unknown, now);
        return false;
    }
    switch (this->tickets.claim(*parsed, work.id, now)) {
    case ticket_verdict::run:
        work.parsed_ticket = parsed;
        return true;
    case ticket_verdict::wait: {
        auto* first = this->find(this->tickets.request_of(*parsed));
        if (first != nullptr) {
            auto const& waiter = first->waiters.emplace_back(work.waiters.front());
            this->by_call[{waiter.host, waiter.call_id}] = first->id;
            return false;
        }
        this->refuse_new(work, result_code::ticket_spent, outcome::unknown, now);
        return false;
    }
    case ticket_verdict::replay: {
        auto answer = this->tickets.answer(*parsed)->content;
        this->send_answer(work, std::move(answer), now);
        return false;
    }
    case ticket_verdict::answer_evicted:
        this->refuse_new(work, result_code::ticket_spent, outcome::unknown, now);
        return false;
    case ticket_verdict::expired:
        this->refuse_new(work, result_code::ticket_expired, outcome::unknown, now);
        return false;
    case ticket_verdict::store_full:
        this->refuse_new(work, result_code::ticket_store_full, outcome::not_forwarded, now);
        return false;
    }
    return false;
}

void executor::admit(execution&& work, time_point now) {
    auto const id = work.id;
    auto const weight = this->weight_of(work.request.organisation);
    this->local_target.note_demand(now);
    this->controller.record_arrival(work.request.organisation, work.request.priority, weight);
    if (this->context.admits_by_cost()) {
        this->load.record_arrival(work.request);
    }
    for (auto const& waiter : work.waiters) {
        this->by_call[{waiter.host, waiter.call_id}] = id;
    }
    queued_work const queue_entry{.id = id,
                                  .is_nested = work.request.depth > 0 || work.request.is_nested_call,
                                  .priority = work.request.priority,
                                  .organisation = work.request.organisation,
                                  .weight = weight,
                                  .arrived = now,
                                  .deadline = work.deadline};
    auto const entry = this->executions.emplace(id, std::move(work)).first;
    auto const capacity = this->context.options.mode == control_mode::off
                              ? this->context.options.max_requests
                              : static_cast<std::size_t>(this->concurrency_limit());
    if (entry->second.is_suspect) {
        this->waiting_suspects.push_back(id);
        return this->start_next_suspect(now);
    }
    bool const has_free_slot =
        this->running < capacity && this->queue.size() == 0 && this->local_target.may_send(now);
    this->controller.record_backlog(!has_free_slot);
    this->load.record_queue(this->queue.size() + (has_free_slot ? 0 : 1));
    if (has_free_slot) {
        return this->start(entry->second, now);
    }
    if (this->context.options.mode == control_mode::per_host) {
        return this->refuse(id, result_code::node_busy, now);
    }
    if (this->would_expire_in_queue(queue_entry, now)) {
        return this->refuse(id, this->local_target.pace_refusal(now), now);
    }
    bool const passes_on = this->context.places_by_wait() && queue_entry.deadline > now &&
                           entry->second.request.pass_on_above_ms > 0 &&
                           entry->second.request.ticket.empty() &&
                           this->load_estimate.expected_wait(this->load_at_target(), now).milliseconds >
                               entry->second.request.pass_on_above_ms;
    if (passes_on) {
        return this->refuse(id, result_code::passed_on, now);
    }
    this->update_queue_capacity(now);
    auto const evicted = this->queue.push(queue_entry);
    if (evicted != 0) {
        this->refuse(evicted, this->queue_refusal(result_code::overloaded, now), now);
    }
}

bool executor::is_too_late(execution const& work, time_point now) {
    return now >= latest_start(work.arrived, work.deadline);
}

void executor::start(execution& work, time_point now) {
    if (is_too_late(work, now)) {
        this->context.node_metrics.increment_counter("requests_too_late_to_start");
        return this->refuse(work.id, result_code::queue_timeout, now);
    }
    this->running_suspect = work.is_suspect ? work.id : this->running_suspect;
    work.stage = execution::state::running;
    work.started = now;
    work.started_wall_nanoseconds = wall_clock_nanoseconds();
    if (this->context.options.egress_correlation == call_correlation::token) {
        work.context_token = to_hex(random_bytes(token_bytes));
        this->by_token[work.context_token] = work.id;
    }
    work.span_id = trace_context::new_span_id();
    this->load_estimate.record_sent(this->running, now);
    ++this->running;
    if (this->context.admits_by_cost()) {
        this->load.record_start(work.id, work.request, now);
    }
    this->local_target.record_sent(work.request.depth > 0 || work.request.is_nested_call, now);
    this->context.node_metrics.observe(latency_metric::queue, now - work.arrived);
    target_request request{.id = work.id,
                           .method = work.request.method,
                           .authority = work.request.authority,
                           .path = work.request.path,
                           .headers = work.request.headers,
                           .body = std::move(work.request.body),
                           .deadline = work.deadline,
                           .answer_grace = target_grace,
                           .request_id = work.request.request_id,
                           .context_token = work.context_token,
                           .traceparent = trace_context{work.request.trace_id, work.span_id}.to_header(),
                           .organisation = work.request.organisation,
                           .calling_service = work.request.calling_service,
                           .instance = work.request.instance,
                           .idempotent = work.is_idempotent()};
    if (work.parsed_ticket) {
        request.idempotency_key = to_hex(work.parsed_ticket->unique_id);
    }
    this->context.pending_effects.target_requests.push_back(std::move(request));
}

void executor::start_next_suspect(time_point now) {
    while (this->running_suspect == 0 && !this->waiting_suspects.empty() &&
           this->local_target.may_send(now)) {
        auto* next = this->find(this->waiting_suspects.front());
        this->waiting_suspects.pop_front();
        if (next == nullptr) {
            continue;
        }
        // Judged again, since gossip may have put it under quarantine while it waited.
        auto const verdict = this->context.request_quarantine.verdict_for(next->fingerprint, now);
        if (verdict == quarantine_verdict::refuse) {
            this->refuse(next->id, result_code::quarantined, now);
            continue;
        }
        this->start(*next, now);
    }
}

void executor::start_queued(time_point now) {
    if (this->local_target.is_leaving()) {
        return this->refuse_queued(result_code::leaving, now);
    }
    if (this->context.is_evacuated()) {
        return this->refuse_evacuated(now);
    }
    this->local_target.check_if_due(now);
    this->start_next_suspect(now);
    std::vector<std::uint64_t> late;
    auto const capacity = static_cast<std::size_t>(this->concurrency_limit());
    while (this->running < capacity && this->local_target.may_send(now)) {
        auto const id = this->queue.pop(now, late);
        if (id == 0) {
            break;
        }
        this->start(this->executions.at(id), now);
    }
    for (auto const id : late) {
        this->refuse(id, this->queue_refusal(result_code::queue_timeout, now), now);
    }
}

void executor::refuse(std::uint64_t id, result_code code, time_point now) {
    auto* work = this->find(id);
    if (work == nullptr) {
        return;
    }
    bool const is_paced = code == result_code::target_limited || code == result_code::target_cold;
    double const retry_after_ms =
        is_paced ? this->local_target.record_refusal(this->queue.size(), now).milliseconds
                 : refusal_retry_after_ms;
    this->finish(*work, {.result = outcome::not_run, .code = code, .retry_after_ms = retry_after_ms}, now);
}

void executor::refuse_new(execution& work, result_code code, outcome result, time_point now) {
    answer_message answer{.result = result, .code = code, .retry_after_ms = refusal_retry_after_ms};
    if (work.parsed_ticket) {
        // This refusal uses up the ticket, so that a copy still in transit can't run.
        this->tickets.finish(*work.parsed_ticket, {answer});
    }
    this->send_answer(work, std::move(answer), now);
}

std::vector<admission_report> executor::admission_reports(execution const& work) const {
    std::vector<admission_report> reports;
    reports.push_back(
        {this->context.options.service, this->controller.fractions_for(work.request.organisation)});
    for (auto const& [service, parts] : work.admissions) {
        reports.push_back({service, parts});
    }
    return reports;
}

void executor::send_answer(execution const& work, answer_message answer, time_point now) {
    answer.allowance_left = static_cast<std::uint8_t>(std::max(0, work.allowance.remaining()));
    bool const by_cost = this->context.admits_by_cost();
    auto const reports = by_cost ? std::vector<admission_report>{} : this->admission_reports(work);
    answer.report = this->context.make_own_report();
    answer.held_ms = std::round((now - work.arrived).milliseconds * held_time_steps) / held_time_steps;
    for (auto const& waiter : work.waiters) {
        answer.call_id = waiter.call_id;
        answer.admissions = reports;
        answer.costs.clear();
        if (by_cost) {
            this->load.describe(answer, work.request.route, waiter.host, now);
        }
        this->context.send_to_host(waiter.host, answer, now, waiter.connection);
    }
}

span executor::make_span(execution const& work, answer_message const& answer) const {
    span execution_span{.trace_id = work.request.trace_id,
                        .span_id = work.span_id,
                        .parent_id = work.request.parent_span,
                        .name = "execute " + work.request.route,
                        .kind = span_kind::server,
                        .start_nanoseconds = work.started_wall_nanoseconds,
                        .end_nanoseconds = wall_clock_nanoseconds(),
                        .failed = answer.result != outcome::ran};
    execution_span.attributes = {{"caraway.request_id", work.request.request_id},
                                 {"caraway.outcome", std::string(name_of(answer.result))},
                                 {"caraway.code", std::string(describe(answer.code).name)},
                                 {"caraway.failure_domain", this->context.options.failure_domain}};
    return execution_span;
}

void executor::finish(execution& work, answer_message answer, time_point now) {
    if (work.parsed_ticket) {
        this->tickets.finish(*work.parsed_ticket, {answer});
    }
    if (work.stage == execution::state::running) {
        --this->running;
        if (this->context.admits_by_cost()) {
            this->load.record_end(work.id, work.request, now - work.started, now);
        }
        this->running_suspect = this->running_suspect == work.id ? 0 : this->running_suspect;
        this->by_token.erase(work.context_token);
        if (this->context.options.exports_spans()) {
            this->context.pending_effects.spans.push_back(this->make_span(work, answer));
        }
    }
    auto const* route = this->context.configuration->find_route_by_name(work.request.route);
    double const objective_ms = route == nullptr ? 0 : route->latency_objective_ms;
    this->local_target.record_end(
        {.is_answered = answer.result == outcome::ran &&
                        answer.status<first_server_error_status, .is_late = objective_ms> 0 &&
                        now - work.arrived > duration{objective_ms},
         .has_run = answer.result != outcome::not_run && answer.result != outcome::not_forwarded});
    this->orphan_child_calls(work);
    this->send_answer(work, std::move(answer), now);
    for (auto const& waiter : work.waiters) {
        this->by_call.erase({waiter.host, waiter.call_id});
    }
    this->executions.erase(work.id);
}

void executor::orphan_child_calls(execution& work) {
    this->orphaned_calls.insert(this->orphaned_calls.end(), work.child_calls.begin(), work.child_calls.end());
    work.child_calls.clear();
}

std::vector<std::uint64_t> executor::take_orphaned_calls() {
    return std::exchange(this->orphaned_calls, {});
}

void executor::on_target_answer(target_answer&& answer, time_point now) {
    if (this->local_target.on_check_answer(answer, now)) {
        return this->start_queued(now);
    }
    auto* work = this->find(answer.id);
    if (work == nullptr) {
        return;
    }
    this->local_target.on_request_ended(answer, now);
    if (answer.statement) {
        this->local_target.on_statement(*answer.statement, work->request.instance, work->started, now);
    }
    this->load.record_answer(answer.code != result_code::target_refused, now);
    auto const elapsed = now - work->started;
    this->context.node_metrics.observe(latency_metric::target, elapsed);
    auto const nested = work->nested_call_time +
                        (work->active_nested_calls > 0 ? now - work->nested_calls_since : duration{0});
    auto const own_time = std::max(duration{0.01}, elapsed - nested);
    this->record_load(answer, own_time, elapsed, work->deadline, now);
    this->record_pace(*work, answer, own_time, now);
    if (answer.result == outcome::ran) {
        // Time spent in nested calls is excluded: a slow downstream service must not lower this limit.
        this->limiter.record_completion(own_time, static_cast<int>(this->running), now);
        this->controller.record_completion();
        this->context.request_quarantine.clear_suspicion(work->fingerprint);
    }
    if (answer.code == result_code::cancelled && now >= work->deadline) {
        answer.code = result_code::deadline_passed;
    }
    if (answer.result == outcome::not_run && answer.code == result_code::deadline_passed) {
        answer.code = result_code::queue_timeout; // It waited for a connection until its time was used up.
    }
    if (answer.code == result_code::target_crashed && answer.refuses_connections) {
        this->record_target_crash(answer.id, now);
    } else if (answer.code == result_code::target_crashed) {
        // The target is still running and only lost this answer, so the request is not a suspect.
        answer.code = result_code::answer_lost;
    }
    this->finish(*work,
                 {.result = answer.result,
                  .code = answer.code,
                  .status = answer.status,
                  .headers = std::move(answer.headers),
                  .body = std::move(answer.body)},
                 now);
    this->controller.record_backlog(this->queue.size() > 0);
    this->load.record_queue(this->queue.size());
    this->start_queued(now);
}

void executor::record_pace(execution const& work, target_answer const& answer, duration own_time,
                           time_point now) {
    bool const was_learning = this->local_target.learned().is_learning();
    bool const is_ended_by_caller = answer.code == result_code::cancelled;
    if (!is_ended_by_caller) {
        bool const has_failed = answer.result != outcome::ran || answer.status >= first_server_error_status;
        paced_answer measured{.kind = fast_hash(work.request.route),
                              .sent = work.started,
                              .own_time = own_time,
                              .held_time = now - work.started,
                              .is_refused = answer.status == busy_status,
                              .others_wait = this->queue.size() > 0};
        if (answer.statement && answer.statement->load) {
            measured.stated_waiting = answer.statement->load->waiting;
            measured.work_percent = answer.statement->load->work_time_percent.value_or(measured.work_percent);
        }
        this->local_target.record_answer(measured, has_failed, now);
    }
    this->follow_warm_up(was_learning);
}

void executor::follow_warm_up(bool was_learning) {
    auto const& learned = this->local_target.learned();
    if (was_learning && !learned.is_learning() && learned.has_fallen()) {
        this->limiter.restart_at(learned.learnt_window());
    }
}

void executor::record_load(target_answer const& answer, duration own_time, duration held_time,
                           time_point deadline, time_point now) {
    if (this->estimated_target != this->context.own_target_id) {
        this->estimated_target = this->context.own_target_id;
        this->load_estimate.reset();
    }
    if (answer.statement && answer.statement->load) {
        auto const& stated = *answer.statement->load;
        this->load_estimate.record_stated({.present = stated.running + stated.waiting,
                                           .slots = stated.slots,
                                           .work_time_percent = stated.work_time_percent},
                                          this->running, now);
    }
    // A cancellation says something of the target only if the request ran for unusually long.
    bool const is_overdue =
        now >= deadline && held_time > this->load_estimate.request_time(now) * overdue_factor;
    bool const is_cancelled = answer.code == result_code::cancelled && !is_overdue;
    bool const is_unsent = answer.result == outcome::not_run && answer.code == result_code::deadline_passed;
    if (is_cancelled || is_unsent || answer.code == result_code::target_replaced) {
        return;
    }
    bool const has_failed = answer.result != outcome::ran || answer.status >= first_server_error_status;
    this->load_estimate.record_answer(own_time, held_time, has_failed, now);
}

void executor::record_target_crash(std::uint64_t crashed_request, time_point now) {
    std::vector<std::uint64_t> blamed;
    auto const& work = this->executions.at(crashed_request);
    // A running suspect is held responsible for the crash; other requests in flight with it are not.
    bool const suspect_is_involved =
        this->running_suspect != 0 || now - this->last_suspect_crash < same_crash_window;
    if (now - this->crash_noticed >= same_crash_window) {
        this->crash_noticed = now;
        this->blamed_for_crash.clear();
    }
    // Identical requests that were under way together have crashed the target once.
    bool const is_first = this->blamed_for_crash.insert(work.fingerprint).second;
    if (work.is_suspect || (is_first && !suspect_is_involved)) {
        blamed.push_back(work.fingerprint);
    }
    if (work.is_suspect) {
        this->last_suspect_crash = now;
    }
    this->context.request_quarantine.record_crash(blamed, now);
    this->context.node_metrics.increment_counter("target_deaths");
    this->context.pending_effects.log(
        log_level::warn, "target_died",
        {{"request_id", work.request.request_id}, {"route", work.request.route}});
}

void executor::cancel(std::string const& from, std::uint64_t call_id, time_point now) {
    auto const found = this->by_call.find({from, call_id});
    if (found == this->by_call.end()) {
        return;
    }
    this->context.node_metrics.increment_counter("cancellations");
    if (auto* work = this->find(found->second)) {
        this->remove_waiter(*work, {from, 0, call_id});
        if (work->waiters.empty()) {
            this->stop(*work, now);
        }
    }
}

bool executor::has_waiter_on(connection_id connection) const {
    return std::ranges::any_of(this->executions, [connection](auto const& entry) {
        return std::ranges::find(entry.second.waiters, connection, &execution::reply_address::connection) !=
               entry.second.waiters.end();
    });
}

void executor::on_connection_lost(connection_id connection, time_point now) {
    std::vector<std::uint64_t> abandoned;
    for (auto& [id, work] : this->executions) {
        auto const waiters = work.waiters;
        for (auto const& waiter : waiters) {
            if (waiter.connection == connection) {
                this->remove_waiter(work, waiter);
            }
        }
        // A ticket is sent again on another link.
        if (work.waiters.size() < waiters.size() && work.waiters.empty() && !work.parsed_ticket) {
            abandoned.push_back(id);
        }
    }
    for (auto const id : abandoned) {
        this->stop(this->executions.at(id), now);
    }
}

void executor::remove_waiter(execution& work, execution::reply_address const& waiter) {
    this->by_call.erase({waiter.host, waiter.call_id});
    std::erase_if(work.waiters, [&waiter](auto const& entry) {
        return entry.host == waiter.host && entry.call_id == waiter.call_id;
    });
}

void executor::stop(execution& work, time_point now) {
    if (work.stage == execution::state::queued) {
        this->queue.remove(work.id);
        return this->refuse(work.id, result_code::cancelled, now);
    }
    this->context.pending_effects.target_cancels.push_back(work.id);
    if (work.is_idempotent()) {
        this->orphan_child_calls(work);
    }
}

void executor::note_call_started(execution& parent, time_point now) {
    if (parent.active_nested_calls++ == 0) {
        parent.nested_calls_since = now;
    }
}

void executor::note_call_ended(execution& parent, time_point now) {
    if (--parent.active_nested_calls == 0) {
        parent.nested_call_time = parent.nested_call_time + (now - parent.nested_calls_since);
    }
}

void executor::add_child_call(execution& parent, std::uint64_t call, time_point now) {
    parent.child_calls.insert(call);
    this->note_call_started(parent, now);
}

void executor::remove_child_call(execution& parent, std::uint64_t call, time_point now) {
    parent.child_calls.erase(call);
    this->note_call_ended(parent, now);
}

void executor::refuse_queued(result_code code, time_point now) {
    std::vector<std::uint64_t> queued;
    for (auto const& [id, work] : this->executions) {
        if (work.stage == execution::state::queued) {
            queued.push_back(id);
        }
    }
    for (auto const id : queued) {
        this->queue.remove(id);
        this->refuse(id, code, now);
    }
}

void executor::start_draining(time_point now) {
    std::vector<std::uint64_t> queued_roots;
    for (auto const& [id, work] : this->executions) {
        if (work.stage == execution::state::queued && work.request.depth == 0) {
            queued_roots.push_back(id);
        }
    }
    for (auto const id : queued_roots) {
        this->queue.remove(id);
        this->refuse(id, result_code::leaving, now);
    }
}

void executor::end_all(time_point now) {
    this->refuse_queued(result_code::leaving, now);
    std::vector<std::uint64_t> running;
    for (auto const& [id, work] : this->executions) {
        running.push_back(id);
    }
    for (auto const id : running) {
        this->finish(this->executions.at(id), {.result = outcome::unknown, .code = result_code::peer_lost},
                     now);
    }
}

void executor::run_periodic_tasks(time_point now) {
    std::vector<std::uint64_t> late;
    this->queue.remove_expired(now, late);
    for (auto const id : late) {
        this->refuse(id, this->queue_refusal(result_code::queue_timeout, now), now);
    }
    this->start_queued(now);
    this->pass_on_waiting(now);
    bool const was_learning = this->local_target.learned().is_learning();
    this->local_target.run_periodic_tasks(now);
    this->follow_warm_up(was_learning);
    this->controller.record_backlog(this->queue.size() > 0);
    this->load.record_queue(this->queue.size());
    this->controller.update_if_due(now);
    if (this->context.admits_by_cost()) {
        // The room is that of the warm target, else admission would keep away the requests that show it.
        this->load.update_if_due(this->limit_without_warm_up(),
                                 this->local_target.is_pacing(now) ? this->local_target.pace(now) : 0, now);
    }
    std::vector<std::uint64_t> overdue;
    std::vector<std::uint64_t> stale_suspects;
    for (auto const& [id, work] : this->executions) {
        if (work.is_suspect && work.stage == execution::state::queued && is_too_late(work, now)) {
            stale_suspects.push_back(id);
        }
        bool const is_cancellable = work.stage == execution::state::running && work.is_idempotent();
        if (is_cancellable && now >= work.deadline) {
            overdue.push_back(id);
        }
    }
    for (auto const id : stale_suspects) {
        this->refuse(id, result_code::queue_timeout, now);
    }
    for (auto const id : overdue) {
        this->context.pending_effects.target_cancels.push_back(id);
        this->orphan_child_calls(this->executions.at(id));
    }
}

} // namespace caraway
