#include "node/originator.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

/// A request waits at most this long for a token of its organisation, or for a link to a host.
constexpr duration park_limit{150};
/// Requests of one organisation that wait for tokens at once.
constexpr std::size_t max_parked = 256;
/// A host that held a request and can't be reached for this long is not waited for any more.
constexpr duration lost_host_limit{3000};
/// Copies of one ticket that a node sends after the first.
constexpr int max_resends = 3;
constexpr std::uint8_t max_depth = 16;
constexpr double least_retry_after_ms = 100;
constexpr double overload_retry_after_ms = 500;
/// The first HTTP status by which a target says that it failed.
constexpr std::uint16_t least_server_error = 500;
/// A node keeps this much of the time it was given, so that its own answer still arrives in time.
constexpr double hop_reserve_ms = 1;

bool is_broken(answer_message const& answer) {
    return answer.code == result_code::target_crashed || answer.code == result_code::target_unreachable ||
           answer.code == result_code::target_malformed || answer.code == result_code::peer_lost ||
           answer.code == result_code::answer_lost;
}

bool is_refusal(answer_message const& answer) {
    return answer.code == result_code::overloaded || answer.code == result_code::queue_timeout ||
           answer.code == result_code::node_busy || answer.code == result_code::target_refused;
}

/// Whether the request reached a target, so that another attempt is a repeat for its service.
bool has_arrived(answer_message const& answer) {
    return answer.result != outcome::not_run || answer.code == result_code::target_refused ||
           answer.code == result_code::target_replaced;
}

/// Whether another host may well take what this one refused. More of the same into an overloaded service
/// helps nobody, so an overload refusal is passed on.
bool is_worth_another_host(result_code code) {
    return code == result_code::leaving || code == result_code::target_unreachable ||
           code == result_code::node_busy || code == result_code::not_ready ||
           code == result_code::queue_timeout || code == result_code::target_refused ||
           code == result_code::target_replaced;
}

/// Whether an idempotent request may well get its answer from another attempt. A crash is not tried again: if
/// the request is its cause, the next target would die as well.
bool is_worth_repeating(result_code code) {
    return code == result_code::peer_lost || code == result_code::answer_lost ||
           code == result_code::target_malformed;
}

/// The service that runs a request of the route; `random` decides among the parts of a split.
std::string const& choose_service(route const& matched, std::uint64_t random) {
    double total = 0;
    for (auto const& part : matched.split) {
        total += part.weight;
    }
    double place = selection_position(random) * total;
    for (auto const& part : matched.split) {
        if (place < part.weight) {
            return part.service;
        }
        place -= part.weight;
    }
    return matched.service;
}

span make_span(origin_call const& call, answer_message const& answer) {
    span hop{.trace_id = call.request.trace_id,
             .span_id = call.request.parent_span,
             .parent_id = call.parent_span,
             .name = call.request.method + " " + call.request.route,
             .kind = call.parent == 0 ? span_kind::server : span_kind::client,
             .start_nanoseconds = call.arrived_wall,
             .end_nanoseconds = wall_clock_nanoseconds(),
             .failed = answer.result != outcome::ran};
    hop.attributes = {{"caraway.request_id", call.request.request_id},
                      {"caraway.organisation", call.request.organisation},
                      {"caraway.outcome", std::string(name_of(answer.result))},
                      {"caraway.code", std::string(describe(answer.code).name)},
                      {"caraway.target", call.host}};
    return hop;
}

} // namespace

originator::originator(node_context& shared, executor& own_executor) : context(shared), local(own_executor) {}

outcome originator::unsent_outcome(origin_call const& call) {
    bool const may_have_copies = call.needs_ticket && (call.parent == 0 || call.is_repeated);
    return may_have_copies ? outcome::not_forwarded : outcome::not_run;
}

void originator::answer_door(door_side side, door_answer&& answer) {
    auto& answers =
        side == door_side::callers ? this->context.out.caller_answers : this->context.out.egress_answers;
    answers.push_back(std::move(answer));
}

void originator::reject(door_request const& request, result_code code, time_point) {
    auto const& entry = describe(code);
    // A ticket may have run before by another copy; this node knows only of this one.
    auto const result = request.idempotency_key.empty() ? outcome::not_run : outcome::not_forwarded;
    this->context.numbers.count_answer(result, code);
    door_answer answer{.id = request.id, .status = entry.http_status, .body = std::string(entry.name) + "\n"};
    answer.note = answer_note{.result = result,
                              .code = code,
                              .request_id = request.request_id,
                              .retry_after_ms = entry.http_status == 503 ? overload_retry_after_ms : 0};
    this->context.out.log(log_level::info, "request_rejected",
                          {{"request_id", request.request_id}, {"code", std::string(entry.name)}});
    this->answer_door(request.side, std::move(answer));
}

void originator::on_request(door_request&& request, time_point now) {
    if (this->context.configuration == nullptr || this->context.phase == node_phase::starting) {
        return this->reject(request, result_code::not_ready, now);
    }
    if (this->calls.size() >= this->context.options.max_requests) {
        return this->reject(request, result_code::node_busy, now);
    }
    auto const* matched =
        this->context.configuration->find_route(request.method, request.authority, request.path);
    if (matched == nullptr) {
        return this->reject(request, result_code::route_unknown, now);
    }
    if (!request.context_token.empty()) {
        auto* parent =
            request.side == door_side::egress ? this->local.find_by_token(request.context_token) : nullptr;
        if (parent == nullptr) {
            return this->reject(request, result_code::context_unknown, now);
        }
        return this->begin_nested(std::move(request), *matched, *parent, now);
    }
    bool const may_be_nested = this->context.options.calls == call_context::deadline && matched->open &&
                               request.key_sha256.empty() && request.timeout_ms > 0;
    if (may_be_nested) {
        if (auto* parent = this->local.find_by_deadline(now + duration{request.timeout_ms})) {
            return this->begin_inferred(std::move(request), *matched, parent, now);
        }
        // A call may end earlier than the request it is made for, never later.
        if (this->local.runs_beyond(now + duration{request.timeout_ms})) {
            return this->begin_inferred(std::move(request), *matched, nullptr, now);
        }
    }
    auto const* owner = this->context.configuration->find_organisation_by_key(request.key_sha256);
    if (owner == nullptr && !matched->open) {
        bool const missing = request.key_sha256.empty();
        return this->reject(request, missing ? result_code::key_missing : result_code::key_unknown, now);
    }
    this->begin_root(std::move(request), *matched, owner == nullptr ? "" : owner->name, now);
}

origin_call originator::make_call(door_request&& request, route const& matched, time_point now) {
    origin_call call{.id = this->next_id++, .side = request.side, .door_id = request.id};
    call.service = choose_service(matched, random_number());
    call.idempotent = matched.idempotent;
    call.needs_ticket = !matched.idempotent && matched.tickets;
    call.request.idempotent = matched.idempotent;
    call.request.authority = std::move(request.authority);
    call.request.calling_service = this->context.options.service;
    call.arrived = now;
    call.arrived_wall = wall_clock_nanoseconds();
    call.request.route = matched.name;
    call.request.method = std::move(request.method);
    call.request.path = std::move(request.path);
    call.request.headers = std::move(request.headers);
    call.request.body = std::move(request.body);
    call.request.request_id = request.request_id.empty() ? random_digits(16) : std::move(request.request_id);
    call.request.priority = static_cast<std::uint8_t>(matched.priority);
    call.request.parent_span = trace_context::new_span_id();
    double const wanted = request.timeout_ms > 0 ? request.timeout_ms : matched.deadline_ms;
    call.deadline = now + duration{std::min(wanted, matched.deadline_ms)};
    return call;
}

void originator::begin_root(door_request&& request, route const& matched, std::string const& organisation,
                            time_point now) {
    if (this->context.is_past_admission(now)) {
        return this->reject(request, result_code::leaving, now);
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

void originator::begin_nested(door_request&& request, route const& matched, execution& parent,
                              time_point now) {
    if (parent.request.depth + 1 >= max_depth) {
        return this->reject(request, result_code::request_malformed, now);
    }
    if (parent.request.organisation.empty() && !matched.open) {
        // Nobody's key came with the request that is being served.
        return this->reject(request, result_code::key_missing, now);
    }
    auto const call_key = request.idempotency_key;
    auto call = this->make_call(std::move(request), matched, now);
    call.parent = parent.id;
    call.call_key = call_key;
    call.deadline = std::min(call.deadline, parent.deadline);
    call.request.organisation = parent.request.organisation;
    call.request.request_id = parent.request.request_id;
    call.request.holds_work = true;
    call.request.selection_hash = parent.request.selection_hash;
    call.request.priority = parent.request.priority;
    call.request.depth = static_cast<std::uint8_t>(parent.request.depth + 1);
    call.request.trace_id = parent.request.trace_id;
    call.parent_span = parent.span_id;
    this->local.note_child_started(parent, call.id, now);
    this->by_door[{call.side, call.door_id}] = call.id;
    auto const id = call.id;
    auto& stored = this->calls.emplace(id, std::move(call)).first->second;
    this->context.budget.note_first_attempt(stored.request.organisation);
    this->context.repeats.note_first_attempt(stored.service);
    this->dispatch(stored, now);
}

void originator::begin_inferred(door_request&& request, route const& matched, execution* parent,
                                time_point now) {
    if (parent != nullptr && parent->request.depth + 1 >= max_depth) {
        return this->reject(request, result_code::request_malformed, now);
    }
    auto call = this->make_call(std::move(request), matched, now);
    call.allowance = retry_allowance(matched.retry_allowance);
    call.request.holds_work = true;
    call.request.depth = 1;
    call.request.selection_hash = fast_hash(call.request.request_id);
    if (parent != nullptr) {
        call.likely_parent = parent->id;
        call.request.selection_hash = parent->request.selection_hash;
        call.request.priority = parent->request.priority;
        call.request.depth = static_cast<std::uint8_t>(parent->request.depth + 1);
        call.request.trace_id = parent->request.trace_id;
        call.parent_span = parent->span_id;
        this->local.note_call_started(*parent, now);
    }
    this->by_door[{call.side, call.door_id}] = call.id;
    auto const id = call.id;
    this->dispatch(this->calls.emplace(id, std::move(call)).first->second, now);
}

bool originator::check_ticket(origin_call& call, std::string const& text, time_point now) {
    if (text.empty()) {
        this->hand_out_ticket(call, result_code::ticket_required, outcome::not_run, now);
        return false;
    }
    auto const parsed = ticket::read(text, this->context.options.fleet_secret);
    bool const bound =
        parsed && parsed->binding == ticket::binding_of(call.request.organisation, call.request.route);
    if (!bound) {
        this->refuse(call, {result_code::ticket_invalid}, now);
        return false;
    }
    call.right = parsed;
    call.request.ticket = text;
    return true;
}

std::optional<ticket> originator::new_ticket(origin_call const& call, time_point now) {
    auto const host = this->choose_host(call, now);
    if (!host) {
        return std::nullopt;
    }
    auto const report = *host == this->context.options.host ? this->context.report()
                                                            : this->context.peers.find(*host)->report;
    return ticket::create(*host, report.incarnation, report.ticket_window,
                          ticket::binding_of(call.request.organisation, call.request.route));
}

void originator::hand_out_ticket(origin_call const& call, result_code code, outcome result, time_point now) {
    auto const fresh = this->new_ticket(call, now);
    auto const shown = fresh ? code : result_code::no_target;
    auto const& entry = describe(shown);
    this->context.numbers.count_answer(result, shown);
    door_answer answer{
        .id = call.door_id, .status = entry.http_status, .body = std::string(entry.name) + "\n"};
    answer.note = answer_note{.result = result, .code = shown, .request_id = call.request.request_id};
    if (fresh) {
        answer.note->ticket = fresh->to_text(this->context.options.fleet_secret);
    }
    this->answer_door(call.side, std::move(answer));
}

void originator::admit(origin_call&& call, time_point now) {
    auto const& organisation = call.request.organisation;
    if (this->context.is_controlled()) {
        auto part =
            this->context.admissions.admitted(call.request.route, organisation, call.request.priority, now);
        // The most urgent requests are shed last: what the others leave free relieves them as well.
        if (call.request.priority != static_cast<std::uint8_t>(priority_class::critical)) {
            part = std::min(part, this->ends_in_time.admitted(call.request.route, now));
        }
        if (selection_position(call.request.selection_hash) >= part) {
            return this->refuse(call, {result_code::overloaded, overload_retry_after_ms}, now);
        }
    }
    auto const id = call.id;
    this->by_door[{call.side, call.door_id}] = id;
    auto& stored = this->calls.emplace(id, std::move(call)).first->second;
    auto const* owner = this->context.configuration->find_organisation(stored.request.organisation);
    bool const limited =
        owner != nullptr && owner->is_limited() && this->context.options.mode != control_mode::off;
    if (!limited) {
        return this->dispatch(stored, now);
    }
    if (this->context.options.mode == control_mode::per_host) {
        if (this->admit_by_host(stored.request.organisation, now)) {
            return this->dispatch(stored, now);
        }
        return this->refuse(stored, {result_code::rate_exceeded, least_retry_after_ms}, now);
    }
    if (this->context.local_rates.take(stored.request.organisation, now)) {
        return this->dispatch(stored, now);
    }
    auto& line = this->parked[stored.request.organisation];
    if (this->context.rights.admit(stored.request.organisation, line.size(), now)) {
        return this->dispatch(stored, now);
    }
    bool const hopeless =
        line.size() >= max_parked || this->context.rights.is_dry(stored.request.organisation, now);
    if (hopeless) {
        auto const wait = this->context.rights.dry_span(stored.request.organisation, now).milliseconds;
        return this->refuse(stored, {result_code::rate_exceeded, std::max(least_retry_after_ms, wait)}, now);
    }
    stored.parked = now;
    line.push_back(id);
}

bool originator::admit_by_host(std::string const& organisation, time_point now) {
    auto const* known = this->context.configuration->find_organisation(organisation);
    if (known == nullptr) {
        return false;
    }
    auto const hosts = static_cast<double>(std::max<std::size_t>(1, this->context.peers.listed_count()));
    auto const [entry, inserted] = this->host_pools.try_emplace(organisation, now - duration{60'000});
    entry->second.set_terms(known->rate / hosts, std::max(1.0, known->burst / hosts), now);
    if (entry->second.level(now) < one_token) {
        return false;
    }
    auto const loan = this->next_call_id++;
    entry->second.lend(loan, one_token, now, now + park_limit);
    entry->second.settle({loan, one_token, 0}, now);
    return true;
}

void originator::admit_supplied(time_point now) {
    for (auto& [organisation, line] : this->parked) {
        while (!line.empty()) {
            auto const found = this->calls.find(line.front());
            bool const gone =
                found == this->calls.end() || found->second.stage != origin_call::state::waiting_for_rate;
            if (gone) {
                line.pop_front();
                continue;
            }
            if (this->context.rights.admit_waiting(organisation, now)) {
                line.pop_front();
                this->dispatch(found->second, now);
                continue;
            }
            if (now - found->second.parked < park_limit && now < found->second.deadline) {
                break;
            }
            line.pop_front();
            this->refuse(found->second, {result_code::rate_exceeded, least_retry_after_ms}, now);
        }
    }
    std::erase_if(this->parked, [](auto const& entry) { return entry.second.empty(); });
}

std::unordered_map<std::string, std::size_t> originator::waiting_for_rate() const {
    std::unordered_map<std::string, std::size_t> counts;
    for (auto const& [organisation, line] : this->parked) {
        counts[organisation] = line.size();
    }
    return counts;
}

std::optional<std::string> originator::choose_host(origin_call const& call, time_point now) {
    auto candidates = this->context.peers.candidates(call.service, now);
    bool const own = call.service == this->context.options.service &&
                     this->context.phase == node_phase::serving && !this->context.target_is_leaving;
    if (own) {
        auto const report = this->context.report();
        candidates.push_back({this->context.options.host, true, report.in_flight, report.limit, {0}});
    }
    return this->context.chooser.choose(candidates, call.idempotent, random_number(), now);
}

std::string originator::instance_of(std::string const& host) const {
    if (host == this->context.options.host) {
        return this->context.own_instance;
    }
    auto const* peer = this->context.peers.find(host);
    return peer == nullptr ? "" : peer->entry.instance;
}

bool originator::right_is_gone(origin_call const& call) const {
    if (call.right->host == this->context.options.host) {
        return call.right->incarnation != this->context.incarnation;
    }
    auto const* peer = this->context.peers.find(call.right->host);
    return peer == nullptr || !peer->listed ||
           (peer->has_report && peer->report.incarnation != call.right->incarnation);
}

void originator::dispatch(origin_call& call, time_point now) {
    if (call.stage == origin_call::state::waiting_for_rate) {
        call.stage = origin_call::state::waiting_for_link;
        call.parked = now;
        if (call.parent == 0) {
            this->context.budget.note_first_attempt(call.request.organisation);
            this->context.repeats.note_first_attempt(call.service);
        }
    }
    std::optional<std::string> host;
    if (call.right) {
        if (this->right_is_gone(call)) {
            return this->finish(call, {.result = outcome::unknown, .code = result_code::incarnation_gone},
                                now);
        }
        host = call.right->host;
        this->context.peers.request_link(*host, now);
    } else if (call.needs_ticket) {
        this->take_nested_ticket(call, now);
        host = call.right ? std::optional(call.right->host) : std::nullopt;
    } else {
        host = this->choose_host(call, now);
    }
    if (host) {
        return this->send_attempt(call, *host, now);
    }
    if (now - call.parked >= park_limit) {
        this->refuse(call, {result_code::no_target, overload_retry_after_ms}, now);
    }
}

void originator::take_nested_ticket(origin_call& call, time_point now) {
    auto* parent = this->local.find(call.parent);
    bool const is_named = parent != nullptr && !call.call_key.empty();
    if (is_named) {
        auto const known = parent->call_tickets.find(call.call_key);
        if (known != parent->call_tickets.end()) {
            // The target repeats a call: the same ticket makes it the same run.
            call.request.ticket = known->second;
            call.right = ticket::read(known->second, this->context.options.fleet_secret);
            call.is_repeated = true;
            return;
        }
    }
    call.right = this->new_ticket(call, now);
    if (!call.right) {
        return;
    }
    call.request.ticket = call.right->to_text(this->context.options.fleet_secret);
    if (is_named) {
        parent->call_tickets[call.call_key] = call.request.ticket;
    }
}

retry_allowance& originator::allowance_of(origin_call& call) {
    auto* parent = call.parent == 0 ? nullptr : this->local.find(call.parent);
    return parent == nullptr ? call.allowance : parent->allowance;
}

void originator::send_attempt(origin_call& call, std::string const& host, time_point now) {
    auto const left = call.deadline - now;
    call.request.call_id = this->next_call_id;
    call.request.deadline_ms = left.milliseconds - (host == this->context.options.host ? 0 : hop_reserve_ms);
    if (call.request.deadline_ms <= 0) {
        return;
    }
    auto& allowance = this->allowance_of(call);
    int const part = allowance.hand_down();
    call.request.allowance = static_cast<std::uint8_t>(part);
    call.request.instance = this->instance_of(host);
    // A copy is kept whole: it may have to be sent again.
    bool const sent = this->context.deliver(host, call.request, now, 0, &call.connection);
    if (!sent) {
        allowance.give_back(part, part);
        if (call.was_sent && now - call.parked >= lost_host_limit) {
            this->refuse(call, {result_code::peer_lost}, now);
        } else if (!call.was_sent && now - call.parked >= park_limit) {
            this->refuse(call, {result_code::no_target, overload_retry_after_ms}, now);
        }
        return;
    }
    ++this->next_call_id;
    call.handed = part;
    call.host = host;
    call.call_id = call.request.call_id;
    call.sent = now;
    call.was_sent = true;
    call.stage = origin_call::state::in_flight;
    this->by_call_id[call.call_id] = call.id;
    this->context.chooser.note_sent(host, now);
}

void originator::learn(origin_call const& call, std::string const& from, answer_message const& answer,
                       time_point now) {
    this->context.peers.on_report(from, answer.report, now);
    auto* parent = this->local.find(call.parent != 0 ? call.parent : call.likely_parent);
    for (auto const& report : answer.admissions) {
        this->context.admissions.learn(call.request.route, report.service, call.request.organisation,
                                       report.admitted, now);
        if (parent == nullptr) {
            continue;
        }
        auto const [known, inserted] = parent->admissions.try_emplace(report.service, report.admitted);
        for (std::size_t index = 0; !inserted && index < report.admitted.size(); ++index) {
            known->second.at(index) = std::min(known->second.at(index), report.admitted.at(index));
        }
    }
}

bool originator::may_retry(origin_call& call, answer_message const& answer) {
    bool const is_root_ticket = call.needs_ticket && call.parent == 0;
    // A caller may still hold a copy of its ticket: running it elsewhere under a new one could run it twice.
    if (is_root_ticket || call.caller_gone) {
        return false;
    }
    bool const refused_elsewhere = answer.result == outcome::not_run && is_worth_another_host(answer.code);
    bool const lost = call.idempotent && is_worth_repeating(answer.code);
    if (!refused_elsewhere && !lost) {
        return false;
    }
    auto& allowance = this->allowance_of(call);
    if (allowance.left() <= 0 || !this->context.budget.take(call.request.organisation)) {
        return false;
    }
    if (has_arrived(answer) && !this->context.repeats.take(call.service)) {
        return false;
    }
    return allowance.take();
}

void originator::on_answer(std::string const& from, answer_message&& answer, time_point now) {
    auto const found = this->by_call_id.find(answer.call_id);
    if (found == this->by_call_id.end()) {
        return;
    }
    auto& call = this->calls.at(found->second);
    if (call.host != from) {
        return;
    }
    this->by_call_id.erase(found);
    this->context.chooser.note_answer(from, now - call.sent, is_broken(answer), is_refusal(answer), now);
    this->learn(call, from, answer, now);
    this->allowance_of(call).give_back(answer.allowance_left, call.handed);
    call.handed = 0;
    if (!this->may_retry(call, answer)) {
        return this->finish(call, std::move(answer), now);
    }
    this->context.numbers.add("retries");
    if (call.right && call.parent != 0) {
        if (auto* parent = this->local.find(call.parent)) {
            parent->call_tickets.erase(call.call_key);
        }
        call.right.reset();
        call.request.ticket.clear();
    }
    call.stage = origin_call::state::waiting_for_link;
    call.parked = now;
    this->dispatch(call, now);
}

void originator::on_connection_lost(connection_id connection, time_point now) {
    std::vector<std::uint64_t> hit;
    for (auto const& [id, call] : this->calls) {
        if (call.stage == origin_call::state::in_flight && call.connection == connection && connection != 0 &&
            call.host != this->context.options.host) {
            hit.push_back(id);
        }
    }
    for (auto const id : hit) {
        auto& call = this->calls.at(id);
        this->by_call_id.erase(call.call_id);
        if (call.right && call.resends < max_resends) {
            // The same ticket to the same incarnation can't run twice, so asking again is safe.
            ++call.resends;
            this->context.chooser.note_abandoned(call.host);
            call.stage = origin_call::state::waiting_for_link;
            call.connection = 0;
            call.parked = now;
            continue;
        }
        answer_message lost{.result = outcome::unknown, .code = result_code::peer_lost};
        this->context.chooser.note_answer(call.host, now - call.sent, true, false, now);
        // What the lost host was given of the allowance may be spent; it does not come back.
        call.handed = 0;
        if (!this->may_retry(call, lost)) {
            this->finish(call, std::move(lost), now);
            continue;
        }
        this->context.numbers.add("retries");
        call.stage = origin_call::state::waiting_for_link;
        call.parked = now;
        this->dispatch(call, now);
    }
}

void originator::refuse(origin_call& call, refusal why, time_point now) {
    this->finish(call,
                 {.result = call.was_sent ? outcome::unknown : unsent_outcome(call),
                  .code = why.code,
                  .retry_after_ms = why.retry_after_ms},
                 now);
}

door_answer originator::make_reply(origin_call const& call, answer_message&& answer, time_point now) {
    auto const& entry = describe(answer.code);
    door_answer reply{.id = call.door_id,
                      .status = answer.code == result_code::ok ? answer.status : entry.http_status,
                      .headers = std::move(answer.headers),
                      .body = std::move(answer.body)};
    if (answer.code != result_code::ok) {
        reply.body = std::string(entry.name) + "\n";
    }
    reply.note = answer_note{.result = answer.result,
                             .code = answer.code,
                             .request_id = call.request.request_id,
                             .retry_after_ms = answer.retry_after_ms};
    bool const is_refused_ticket = call.needs_ticket && call.parent == 0 && answer.result == outcome::not_run;
    if (is_refused_ticket) {
        // The old ticket is spent; with this one the caller may try again at once.
        if (auto const fresh = this->new_ticket(call, now)) {
            reply.note->ticket = fresh->to_text(this->context.options.fleet_secret);
        }
    }
    return reply;
}

void originator::log_ended(origin_call const& call, answer_message const& answer, time_point now) {
    auto const whole = [](double milliseconds) { return std::to_string(std::llround(milliseconds)); };
    this->context.out.log(log_level::info, "request_ended",
                          {{"request_id", call.request.request_id},
                           {"route", call.request.route},
                           {"service", call.service},
                           {"organisation", call.request.organisation},
                           {"code", std::string(describe(answer.code).name)},
                           {"outcome", std::string(name_of(answer.result))},
                           {"host", call.host},
                           {"held_ms", whole((now - call.arrived).milliseconds)},
                           {"left_ms", whole((call.deadline - now).milliseconds)},
                           {"attempts_left", std::to_string(call.allowance.left())},
                           {"configuration", std::to_string(this->context.configuration->revision())}});
}

void originator::note_end(origin_call const& call, answer_message const& answer, time_point now) {
    bool const is_root = call.parent == 0 && !call.request.holds_work;
    bool const is_late = answer.code == result_code::deadline_passed && call.was_sent;
    if (is_root && (is_late || answer.code == result_code::ok)) {
        this->ends_in_time.note_ended(call.request.route, !is_late && answer.status < least_server_error,
                                      now);
    }
}

void originator::finish(origin_call& call, answer_message&& answer, time_point now) {
    this->note_end(call, answer, now);
    this->context.numbers.count_answer(answer.result, answer.code);
    this->context.numbers.observe(timing::request, now - call.arrived);
    if (this->context.options.wants_spans()) {
        this->context.out.spans.push_back(make_span(call, answer));
    }
    if (answer.code != result_code::ok) {
        this->log_ended(call, answer, now);
    }
    auto reply = this->make_reply(call, std::move(answer), now);
    if (!call.caller_gone) {
        this->answer_door(call.side, std::move(reply));
    }
    this->drop(call.id);
    if (auto* parent = call.parent == 0 ? nullptr : this->local.find(call.parent)) {
        this->local.note_child_ended(*parent, call.id, now);
    }
    if (auto* parent = call.likely_parent == 0 ? nullptr : this->local.find(call.likely_parent)) {
        this->local.note_call_ended(*parent, now);
    }
    this->calls.erase(call.id);
}

void originator::drop(std::uint64_t id) {
    auto const found = this->calls.find(id);
    if (found == this->calls.end()) {
        return;
    }
    this->by_door.erase({found->second.side, found->second.door_id});
    this->by_call_id.erase(found->second.call_id);
}

void originator::cancel_attempt(origin_call& call, time_point now) {
    if (call.stage != origin_call::state::in_flight) {
        return;
    }
    this->context.deliver(call.host, cancel_message{call.call_id}, now, call.connection);
    if (this->by_call_id.contains(call.call_id)) {
        this->context.chooser.note_abandoned(call.host);
    }
}

void originator::on_hang_up(door_side side, std::uint64_t door_id, time_point now) {
    auto const found = this->by_door.find({side, door_id});
    if (found != this->by_door.end()) {
        this->abandon(found->second, now);
    }
}

void originator::abandon(std::uint64_t id, time_point now) {
    auto const found = this->calls.find(id);
    if (found == this->calls.end()) {
        return;
    }
    auto& call = found->second;
    call.caller_gone = call.caller_gone || call.parent == 0;
    this->cancel_attempt(call, now);
    this->finish(
        call,
        {.result = call.was_sent ? outcome::unknown : unsent_outcome(call), .code = result_code::cancelled},
        now);
}

void originator::tick(time_point now) {
    for (auto const orphan : this->local.take_orphans()) {
        this->abandon(orphan, now);
    }
    this->admit_supplied(now);
    std::vector<std::uint64_t> overdue;
    std::vector<std::uint64_t> unsent;
    for (auto const& [id, call] : this->calls) {
        if (now >= call.deadline) {
            overdue.push_back(id);
        } else if (call.stage == origin_call::state::waiting_for_link) {
            unsent.push_back(id);
        }
    }
    for (auto const id : overdue) {
        auto& call = this->calls.at(id);
        this->cancel_attempt(call, now);
        this->refuse(call, {result_code::deadline_passed}, now);
    }
    for (auto const id : unsent) {
        auto const found = this->calls.find(id);
        if (found != this->calls.end()) {
            this->dispatch(found->second, now);
        }
    }
}

} // namespace caraway
