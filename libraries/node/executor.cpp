#include "node/executor.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace caraway {

namespace {

constexpr std::size_t token_bytes = 16;
/// Queue places for each slot of the target.
constexpr double queue_factor = 2.0;
/// The same for parts of requests that other targets work on: a request of the users' platform has up to ten
/// of them, and one that is refused fails it. Ten rounds of a slot still fit their age limit where a run
/// takes some ten milliseconds; where it takes longer, the age limit decides.
constexpr double held_queue_factor = 10.0;
constexpr std::size_t least_queue = 8;
constexpr double retry_after_ms = 500;
/// The target gets this much longer than the caller, so that the answer that matters is the caller's
/// deadline.
constexpr double target_grace_ms = 50;

/// A call that a target makes shows the time its request has left; what both clocks and the way add to it
/// stays below this.
constexpr duration deadline_tolerance{25};
constexpr std::size_t max_waiting_suspects = 64;
/// Answers lost within this span of a suspect's death died with it.
constexpr duration same_death_span{500};

} // namespace

executor::executor(node_context& shared, time_point started)
    : context(shared), limiter(1), queue(least_queue), tickets(started) {}

int executor::limit() const {
    return this->context.is_controlled() ? this->limiter.limit() : this->slots;
}

void executor::on_configuration() {
    auto const* own = this->context.configuration == nullptr
                          ? nullptr
                          : this->context.configuration->find_service(this->context.options.service);
    if (own == nullptr) {
        return;
    }
    int const published = this->listed_slots > 0 ? this->listed_slots : own->slots;
    this->slots = std::max(1, std::min(published, own->connections));
    this->limiter.set_slots(this->slots);
    auto const places = [this](double factor) {
        return std::max(least_queue, static_cast<std::size_t>(factor * this->slots));
    };
    this->queue.set_capacity(places(queue_factor), places(held_queue_factor));
}

void executor::set_listed_slots(int count) {
    if (count != this->listed_slots) {
        this->listed_slots = count;
        this->on_configuration();
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

bool executor::runs_beyond(time_point instant) const {
    return std::ranges::any_of(this->executions, [instant](auto const& entry) {
        return entry.second.stage == execution::state::running && entry.second.deadline > instant;
    });
}

void executor::receive(std::string const& from, connection_id connection, forward_message&& request,
                       time_point now) {
    execution work{.id = this->next_id++, .request = std::move(request)};
    work.waiters.push_back({from, connection, work.request.call_id});
    work.arrived = now;
    work.deadline = now + duration{work.request.deadline_ms};
    work.allowance = retry_allowance(work.request.allowance);
    if (this->context.configuration == nullptr) {
        return this->refuse_unqueued(work, result_code::not_ready,
                                     work.is_idempotent() ? outcome::not_run : outcome::not_forwarded, now);
    }
    if (!work.request.ticket.empty() && !this->claim_ticket(work, now)) {
        return;
    }
    if (this->context.phase != node_phase::serving || this->context.target_is_leaving) {
        return this->refuse_unqueued(work, result_code::leaving, outcome::not_run, now);
    }
    if (this->executions.size() >= this->context.options.max_requests) {
        return this->refuse_unqueued(work, result_code::node_busy, outcome::not_run, now);
    }
    work.fingerprint = quarantine::fingerprint_of(work.request.organisation, work.request.route,
                                                  work.request.path, work.request.body);
    auto const verdict = this->context.suspects.verdict_for(work.fingerprint, now);
    if (verdict == quarantine_verdict::refuse) {
        return this->refuse_unqueued(work, result_code::quarantined, outcome::not_run, now);
    }
    work.suspect = verdict == quarantine_verdict::isolate;
    if (work.suspect && this->waiting_suspects.size() >= max_waiting_suspects) {
        return this->refuse_unqueued(work, result_code::quarantined, outcome::not_run, now);
    }
    this->admit(std::move(work), now);
}

bool executor::claim_ticket(execution& work, time_point now) {
    auto const parsed = ticket::try_parse(work.request.ticket, this->context.options.fleet_secret);
    bool const bound =
        parsed && parsed->binding == ticket::binding_of(work.request.organisation, work.request.route);
    if (!bound) {
        this->refuse_unqueued(work, result_code::ticket_invalid, outcome::not_forwarded, now);
        return false;
    }
    bool const own =
        parsed->host == this->context.options.host && parsed->incarnation == this->context.incarnation;
    if (!own) {
        this->refuse_unqueued(work, result_code::incarnation_gone, outcome::unknown, now);
        return false;
    }
    switch (this->tickets.claim(*parsed, work.id, now)) {
    case ticket_verdict::run:
        work.right = parsed;
        return true;
    case ticket_verdict::wait: {
        auto* first = this->find(this->tickets.request_of(*parsed));
        if (first != nullptr) {
            first->waiters.push_back(work.waiters.front());
            return false;
        }
        this->refuse_unqueued(work, result_code::ticket_spent, outcome::unknown, now);
        return false;
    }
    case ticket_verdict::replay: {
        auto answer = this->tickets.answer(*parsed)->content;
        this->send_answer(work, std::move(answer), now);
        return false;
    }
    case ticket_verdict::answer_evicted:
        this->refuse_unqueued(work, result_code::ticket_spent, outcome::unknown, now);
        return false;
    case ticket_verdict::expired:
        this->refuse_unqueued(work, result_code::ticket_expired, outcome::unknown, now);
        return false;
    case ticket_verdict::store_full:
        this->refuse_unqueued(work, result_code::ticket_store_full, outcome::not_forwarded, now);
        return false;
    }
    return false;
}

void executor::admit(execution&& work, time_point now) {
    auto const id = work.id;
    auto const weight = this->weight_of(work.request.organisation);
    this->controller.record_arrival(work.request.organisation, work.request.priority, weight);
    for (auto const& waiter : work.waiters) {
        this->by_call[{waiter.host, waiter.call_id}] = id;
    }
    queued_work const place{.id = id,
                            .is_nested = work.request.depth > 0 || work.request.is_nested_call,
                            .priority = work.request.priority,
                            .organisation = work.request.organisation,
                            .weight = weight,
                            .arrived = now,
                            .deadline = work.deadline};
    auto const entry = this->executions.emplace(id, std::move(work)).first;
    auto const capacity = this->context.options.mode == control_mode::off
                              ? this->context.options.max_requests
                              : static_cast<std::size_t>(this->limit());
    if (entry->second.suspect) {
        this->waiting_suspects.push_back(id);
        return this->admit_next_suspect(now);
    }
    bool const free_slot = this->running < capacity && this->queue.size() == 0;
    this->controller.record_backlog(!free_slot);
    if (free_slot) {
        return this->start(entry->second, now);
    }
    if (this->context.options.mode == control_mode::per_host) {
        return this->refuse(id, result_code::node_busy, now);
    }
    auto const yielded = this->queue.push(place);
    if (yielded != 0) {
        this->refuse(yielded, result_code::overloaded, now);
    }
}

void executor::start(execution& work, time_point now) {
    work.stage = execution::state::running;
    work.started = now;
    work.started_wall = wall_clock_nanoseconds();
    if (this->context.options.egress_correlation == call_correlation::token) {
        work.token = to_hex(random_bytes(token_bytes));
        this->by_token[work.token] = work.id;
    }
    work.span_id = trace_context::new_span_id();
    ++this->running;
    this->context.numbers.observe(latency_metric::queue, now - work.arrived);
    auto const left = work.deadline - now;
    target_request request{.id = work.id,
                           .method = work.request.method,
                           .authority = work.request.authority,
                           .path = work.request.path,
                           .headers = work.request.headers,
                           .body = std::move(work.request.body),
                           .timeout_ms = left.milliseconds + target_grace_ms,
                           .deadline_ms = left.milliseconds,
                           .request_id = work.request.request_id,
                           .context_token = work.token,
                           .traceparent = trace_context{work.request.trace_id, work.span_id}.to_header(),
                           .organisation = work.request.organisation,
                           .calling_service = work.request.calling_service,
                           .instance = work.request.instance,
                           .idempotent = work.is_idempotent()};
    if (work.right) {
        request.idempotency_key = to_hex(work.right->unique_id);
    }
    this->context.out.target_requests.push_back(std::move(request));
}

void executor::admit_next_suspect(time_point now) {
    while (this->running_suspect == 0 && !this->waiting_suspects.empty()) {
        auto* next = this->find(this->waiting_suspects.front());
        this->waiting_suspects.pop_front();
        if (next == nullptr) {
            continue;
        }
        // Judged again: it may have been found guilty elsewhere while it waited.
        auto const verdict = this->context.suspects.verdict_for(next->fingerprint, now);
        if (verdict == quarantine_verdict::refuse) {
            this->refuse(next->id, result_code::quarantined, now);
            continue;
        }
        this->running_suspect = next->id;
        this->start(*next, now);
    }
}

void executor::start_more(time_point now) {
    this->admit_next_suspect(now);
    std::vector<std::uint64_t> late;
    auto const capacity = static_cast<std::size_t>(this->limit());
    while (this->running < capacity) {
        auto const id = this->queue.pop(now, late);
        if (id == 0) {
            break;
        }
        this->start(this->executions.at(id), now);
    }
    for (auto const id : late) {
        this->refuse(id, result_code::queue_timeout, now);
    }
}

void executor::refuse(std::uint64_t id, result_code code, time_point now) {
    auto* work = this->find(id);
    if (work == nullptr) {
        return;
    }
    this->finish(*work, {.result = outcome::not_run, .code = code, .retry_after_ms = retry_after_ms}, now);
}

void executor::refuse_unqueued(execution& work, result_code code, outcome result, time_point now) {
    answer_message answer{.result = result, .code = code, .retry_after_ms = retry_after_ms};
    if (work.right) {
        // The ticket is spent by this refusal, so that a copy still on its way can't run.
        this->tickets.finish(*work.right, {answer});
    }
    this->send_answer(work, std::move(answer), now);
}

std::vector<admission_report> executor::reports(execution const& work) const {
    std::vector<admission_report> all;
    all.push_back({this->context.options.service, this->controller.fractions_for(work.request.organisation)});
    for (auto const& [service, parts] : work.admissions) {
        all.push_back({service, parts});
    }
    return all;
}

void executor::send_answer(execution const& work, answer_message answer, time_point now) {
    answer.allowance_left = static_cast<std::uint8_t>(std::max(0, work.allowance.remaining()));
    answer.admissions = this->reports(work);
    answer.report = this->context.report();
    for (auto const& waiter : work.waiters) {
        answer.call_id = waiter.call_id;
        this->context.deliver(waiter.host, answer, now, waiter.connection);
    }
}

span executor::make_span(execution const& work, answer_message const& answer) const {
    span hop{.trace_id = work.request.trace_id,
             .span_id = work.span_id,
             .parent_id = work.request.parent_span,
             .name = "execute " + work.request.route,
             .kind = span_kind::server,
             .start_nanoseconds = work.started_wall,
             .end_nanoseconds = wall_clock_nanoseconds(),
             .failed = answer.result != outcome::ran};
    hop.attributes = {{"caraway.request_id", work.request.request_id},
                      {"caraway.outcome", std::string(name_of(answer.result))},
                      {"caraway.code", std::string(describe(answer.code).name)},
                      {"caraway.failure_domain", this->context.options.failure_domain}};
    return hop;
}

void executor::finish(execution& work, answer_message answer, time_point now) {
    if (work.right) {
        this->tickets.finish(*work.right, {answer});
    }
    if (work.stage == execution::state::running) {
        --this->running;
        this->running_suspect = this->running_suspect == work.id ? 0 : this->running_suspect;
        this->by_token.erase(work.token);
        if (this->context.options.exports_spans()) {
            this->context.out.spans.push_back(this->make_span(work, answer));
        }
    }
    this->orphan_children(work);
    this->send_answer(work, std::move(answer), now);
    for (auto const& waiter : work.waiters) {
        this->by_call.erase({waiter.host, waiter.call_id});
    }
    this->executions.erase(work.id);
}

void executor::orphan_children(execution& work) {
    this->orphans.insert(this->orphans.end(), work.children.begin(), work.children.end());
    work.children.clear();
}

std::vector<std::uint64_t> executor::take_orphans() {
    return std::exchange(this->orphans, {});
}

void executor::on_target(target_answer&& answer, time_point now) {
    auto* work = this->find(answer.id);
    if (work == nullptr) {
        return;
    }
    auto const taken = now - work->started;
    this->context.numbers.observe(latency_metric::target, taken);
    auto const nested =
        work->nested_total + (work->nested_active > 0 ? now - work->nested_since : duration{0});
    if (answer.result == outcome::ran) {
        // Time in calls below is not the own target's: a slow service below must not shrink this limit.
        auto const own_time = std::max(duration{0.01}, taken - nested);
        this->limiter.record_completion(own_time, static_cast<int>(this->running), now);
        this->controller.record_completion();
        this->context.suspects.clear_suspicion(work->fingerprint);
    }
    if (answer.code == result_code::cancelled && now >= work->deadline) {
        answer.code = result_code::deadline_passed;
    }
    if (answer.code == result_code::target_crashed && answer.refuses_connections) {
        this->note_death(answer.id, now);
    } else if (answer.code == result_code::target_crashed) {
        // The target lives: it lost this answer, and nothing speaks against the request.
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
    this->start_more(now);
}

void executor::note_death(std::uint64_t dead, time_point now) {
    std::vector<std::uint64_t> blamed;
    auto const& work = this->executions.at(dead);
    // A suspect that ran is to blame; the others that were in flight with it are not.
    bool const suspect_is_near = this->running_suspect != 0 || now - this->suspect_died < same_death_span;
    if (work.suspect || !suspect_is_near) {
        blamed.push_back(work.fingerprint);
    }
    if (work.suspect) {
        this->suspect_died = now;
    }
    this->context.suspects.record_crash(blamed, now);
    this->context.numbers.increment_counter("target_deaths");
    this->context.out.log(log_level::warn, "target_died",
                          {{"request_id", work.request.request_id}, {"route", work.request.route}});
}

void executor::cancel(std::string const& from, std::uint64_t call_id, time_point now) {
    auto const found = this->by_call.find({from, call_id});
    if (found == this->by_call.end()) {
        return;
    }
    auto* work = this->find(found->second);
    if (work == nullptr) {
        return;
    }
    if (work->stage == execution::state::queued) {
        this->queue.remove(work->id);
        return this->refuse(work->id, result_code::cancelled, now);
    }
    if (!work->is_idempotent() || work->waiters.size() > 1) {
        // It goes on: cutting it would leave nobody able to tell whether it ran.
        return;
    }
    this->context.out.target_cancels.push_back(work->id);
    this->orphan_children(*work);
}

void executor::note_call_started(execution& parent, time_point now) {
    if (parent.nested_active++ == 0) {
        parent.nested_since = now;
    }
}

void executor::note_call_ended(execution& parent, time_point now) {
    if (--parent.nested_active == 0) {
        parent.nested_total = parent.nested_total + (now - parent.nested_since);
    }
}

void executor::note_child_started(execution& parent, std::uint64_t call, time_point now) {
    parent.children.insert(call);
    this->note_call_started(parent, now);
}

void executor::note_child_ended(execution& parent, std::uint64_t call, time_point now) {
    parent.children.erase(call);
    this->note_call_ended(parent, now);
}

void executor::drain(time_point now) {
    std::vector<std::uint64_t> waiting;
    for (auto const& [id, work] : this->executions) {
        if (work.stage == execution::state::queued && work.request.depth == 0) {
            waiting.push_back(id);
        }
    }
    for (auto const id : waiting) {
        this->queue.remove(id);
        this->refuse(id, result_code::leaving, now);
    }
}

void executor::tick(time_point now) {
    std::vector<std::uint64_t> late;
    this->queue.remove_expired(now, late);
    for (auto const id : late) {
        this->refuse(id, result_code::queue_timeout, now);
    }
    this->start_more(now);
    this->controller.record_backlog(this->queue.size() > 0);
    this->controller.update_if_due(now);
    std::vector<std::uint64_t> overdue;
    std::vector<std::uint64_t> stale_suspects;
    for (auto const& [id, work] : this->executions) {
        if (work.suspect && work.stage == execution::state::queued && now >= work.deadline) {
            stale_suspects.push_back(id);
        }
        bool const cuttable = work.stage == execution::state::running && work.is_idempotent();
        if (cuttable && now >= work.deadline) {
            overdue.push_back(id);
        }
    }
    for (auto const id : stale_suspects) {
        this->refuse(id, result_code::queue_timeout, now);
    }
    for (auto const id : overdue) {
        this->context.out.target_cancels.push_back(id);
        this->orphan_children(this->executions.at(id));
    }
}

} // namespace caraway
