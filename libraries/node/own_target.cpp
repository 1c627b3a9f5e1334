#include "node/own_target.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace caraway {

namespace {

constexpr duration log_interval{1000};
/// A host that has sent nothing for this long does not take part in the limit.
constexpr duration sender_lifetime{2000};
constexpr duration max_return_delay{30'000};
/// How long a target without a listed instance stays out of use after it has stated that it is leaving.
constexpr duration anonymous_leaving_lifetime{30'000};
constexpr double thousandths = 1000;
constexpr double max_reported_limit = 1e6;

/// A process without an event for this long stood still, or its host was suspended.
constexpr duration freeze_span{1000};
/// Longer silence of a target that requests could be sent to tells that it may have started again.
constexpr duration silence_span{1000};
/// Answers lost one after the other, with none in between, until nothing is under way.
constexpr int losses_of_a_restart = 2;
/// Only a request shows that a target accepts connections again. Where the pace allows none for longer than
/// this, the target is taken as one that has started when it was last seen to refuse them.
constexpr duration max_retry_interval{10'000};
constexpr double milliseconds_per_second = 1000;
constexpr double min_audible_pace = 1e-6;
/// A target that nobody has asked for in this span is not checked.
constexpr duration demand_span{500};
constexpr std::uint64_t check_id_flag = std::uint64_t{1} << 63U;
constexpr duration check_timeout{1000};
/// A target that is taken as cold without having said so is asked only when its pace is about to delay
/// requests: health checks take a slot of the target.
constexpr double tokens_without_check = 2;
/// A process that has just started knows nothing of its target, but one that has run for this long is not
/// new.
constexpr duration new_target_age{10'000};
/// A target that answers again after it has answered nothing for this long, and for so many times its usual
/// time, with requests at hand, has recovered.
constexpr duration outage_span{1000};
constexpr double outage_factor = 4;
constexpr std::size_t min_requests_in_outage = 3;
constexpr duration max_peer_report_age{3000};

std::string rounded(double value) {
    return std::to_string(std::llround(value));
}

std::string rate_text(std::optional<double> limit) {
    return limit ? std::to_string(std::round(*limit * thousandths) / thousandths) : "none";
}

} // namespace

void own_target::apply_configuration(time_point now) {
    auto const* service = this->context.configuration == nullptr
                              ? nullptr
                              : this->context.configuration->find_service(this->context.options.service);
    double const rate = service == nullptr ? 0 : service->cold_rate;
    this->pacer.cold.configure(rate, this->context.tolerated_cold, now);
    this->coldness.configure(duration{service == nullptr ? 0 : service->cold_ms});
    this->health_path = service == nullptr ? "" : service->health_path;
    this->update_cold(now);
}

void own_target::on_listed(target_id listed, duration cold_for, time_point now,
                           std::optional<duration> running_for) {
    this->context.own_target_id = listed;
    if (listed == 0) {
        return; // An entry that has expired may be back under the same incarnation.
    }
    if (listed == this->incarnation) {
        this->coldness.on_listed_again(cold_for, now);
        return this->set_cold_cause("host_list", now);
    }
    bool const is_known_old = this->incarnation == 0 && running_for && *running_for >= new_target_age;
    if (!is_known_old) {
        this->begin_warm_up("new_incarnation", now);
    }
    this->incarnation = listed;
    this->set_rate_limit(std::nullopt, "new_incarnation", now);
    this->pacer.limit.reset();
    this->is_known = false;
    this->leaving = false;
    this->coldness.on_new_incarnation(cold_for, now);
    this->set_cold_cause("new_incarnation", now);
    // Peers may have told what the target states before the host list named it.
    if (auto const* known = this->context.targets.find(listed)) {
        this->adopt(listed, target_state(*known), now);
    }
}

void own_target::on_statement(target_statement const& statement, std::string const& instance, time_point sent,
                              time_point now) {
    if (instance != this->context.own_target_instance) {
        return; // A late answer of an earlier incarnation.
    }
    if (statement.cold_ms) {
        this->coldness.on_stated(duration{*statement.cold_ms}, sent, now);
        this->set_cold_cause("target", now);
    }
    this->is_known = true;
    if (statement.has_unreadable_rate_limit) {
        this->context.node_metrics.increment_counter("target_limits_unreadable");
    } else {
        this->set_rate_limit(statement.rate_limit, "target", now);
    }
    if (statement.leaving) {
        this->set_leaving("target", now);
    }
}

void own_target::on_request_ended(target_answer const& answer, time_point now) {
    this->outstanding -= std::min<std::size_t>(this->outstanding, 1);
    bool const is_gone = answer.code == result_code::target_unreachable || answer.refuses_connections;
    if (is_gone) {
        this->note_unreachable(now);
        this->begin_warm_up("unreachable", now);
    } else if (answer.code == result_code::target_replaced) {
        this->assume_cold("replaced", now);
        this->begin_warm_up("replaced", now);
    } else if (answer.code == result_code::target_crashed) {
        ++this->losses;
        if (this->outstanding == 0 && this->losses >= losses_of_a_restart) {
            this->assume_cold("all_answers_lost", now);
            this->begin_warm_up("all_answers_lost", now);
        }
    } else if (answer.result == outcome::ran || answer.statement) {
        this->losses = 0;
        this->last_contact = now;
        this->coldness.note_answer(now);
        this->set_cold_cause("reachable_again", now);
    }
}

void own_target::note_unreachable(time_point now) {
    this->assume_cold("unreachable", now);
    if (this->pacer.cold.time_until_token(0, now) <= max_retry_interval) {
        this->coldness.note_lost(now);
    }
}

void own_target::begin_warm_up(std::string_view reason, time_point now) {
    auto& learned = this->pacer.learned;
    if (!this->context.learns_pace() || (learned.is_learning() && learned.begun_at() == now)) {
        return;
    }
    bool const was_learning = learned.is_learning();
    learned.begin(now);
    learned.set_peer_time(this->peers_request_time(now));
    if (!was_learning) {
        this->context.node_metrics.increment_counter("target_warm_ups");
        this->context.pending_effects.log(log_level::info, "target_warm_up",
                                          {{"instance", this->context.own_target_instance},
                                           {"reason", std::string(reason)},
                                           {"window", std::to_string(learned.window())}});
    }
}

void own_target::record_answer(paced_answer answer, bool has_failed, time_point now) {
    auto& learned = this->pacer.learned;
    if (!this->context.learns_pace()) {
        return;
    }
    double const usual_ms = learned.request_time().milliseconds;
    // Only the target's own time: one that waits for a service below has not stood still.
    bool const was_silent = this->last_answer.milliseconds > 0 && now - this->last_answer >= outage_span &&
                            this->outstanding >= min_requests_in_outage && answer.own_time >= outage_span &&
                            answer.own_time.milliseconds > outage_factor * usual_ms;
    this->last_answer = now;
    if (has_failed && !answer.is_refused) {
        return;
    }
    if (was_silent) {
        this->begin_warm_up("silence", now);
    }
    answer.is_cold = this->is_cold;
    bool const was_learning = learned.is_learning();
    learned.record_answer(answer, now);
    if (was_learning && !learned.is_learning()) {
        this->log_warm_up_end(now);
    }
}

void own_target::update_warm_up(time_point now) {
    auto& learned = this->pacer.learned;
    if (!learned.is_learning()) {
        return;
    }
    learned.set_peer_time(this->peers_request_time(now));
    learned.update(this->is_cold, now);
    if (!learned.is_learning()) {
        this->log_warm_up_end(now);
    }
}

void own_target::log_warm_up_end(time_point now) {
    auto const& learned = this->pacer.learned;
    this->context.pending_effects.log(log_level::info, "target_warm_up_ended",
                                      {{"instance", this->context.own_target_instance},
                                       {"window", std::to_string(learned.learnt_window())},
                                       {"falls", std::to_string(learned.fall_count())},
                                       {"after_ms", rounded((now - learned.begun_at()).milliseconds)}});
}

duration own_target::peers_request_time(time_point now) const {
    std::vector<double> reported;
    for (auto const& name : this->context.peers.listed_hosts()) {
        auto const* peer = this->context.peers.find(name);
        bool const is_counted = peer != nullptr && peer->has_report && name != this->context.options.host &&
                                peer->entry.service == this->context.options.service &&
                                now - peer->report_time < max_peer_report_age &&
                                peer->report.target_request_ms > 0;
        if (is_counted) {
            reported.push_back(peer->report.target_request_ms);
        }
    }
    if (reported.empty()) {
        return {0};
    }
    auto const middle = reported.begin() + static_cast<std::ptrdiff_t>(reported.size() / 2);
    std::ranges::nth_element(reported, middle);
    return {*middle};
}

void own_target::assume_cold(std::string_view reason, time_point now) {
    this->coldness.assume(now);
    this->set_cold_cause(reason, now);
}

void own_target::note_time(time_point now) {
    bool const stood_still = this->last_event.milliseconds > 0 && now - this->last_event >= freeze_span;
    this->last_event = now;
    if (stood_still) {
        this->assume_cold("process_stood_still", now);
    }
}

void own_target::note_demand(time_point now) {
    this->last_demand = now;
    bool const is_first = this->last_contact.milliseconds == 0;
    if (is_first || now - this->last_contact >= this->longest_silence(now)) {
        this->last_contact = now;
        this->assume_cold(is_first ? "first_contact" : "silence", now);
    }
    this->check_if_due(now);
}

duration own_target::longest_silence(time_point now) const {
    if (!this->is_pacing(now)) {
        return silence_span;
    }
    // What the pace itself causes says nothing of the target.
    return silence_span + duration{milliseconds_per_second / std::max(min_audible_pace, this->pace(now))};
}

void own_target::set_cold_cause(std::string_view reason, time_point now) {
    bool const is_cold_now = this->pacer.cold.is_configured() && this->coldness.is_cold(now);
    if (is_cold_now && !this->is_cold) {
        this->cold_cause = reason;
    }
    this->update_cold(now);
}

void own_target::update_cold(time_point now) {
    bool const is_cold_now = this->pacer.cold.is_configured() && this->coldness.is_cold(now);
    if (is_cold_now == this->is_cold) {
        return;
    }
    this->is_cold = is_cold_now;
    header_list fields{{"instance", this->context.own_target_instance}, {"reason", this->cold_cause}};
    if (is_cold_now) {
        this->cold_since = now;
        this->pacer.cold.begin(now);
        fields.push_back({"for_ms", rounded(this->coldness.remaining(now).milliseconds)});
    } else {
        bool const was_audible = this->longest_silence(now) < silence_span + silence_span;
        this->last_contact = was_audible ? this->last_contact : now;
        bool const was_cold = !this->coldness.is_refuted();
        was_cold ? this->pacer.cold.end(now) : this->pacer.cold.withdraw();
        fields.push_back({"after_ms", rounded((now - this->cold_since).milliseconds)});
    }
    this->context.pending_effects.log(log_level::info, is_cold_now ? "target_cold" : "target_warm",
                                      std::move(fields));
}

duration own_target::cold_for(time_point now) const {
    return this->is_cold ? this->coldness.remaining(now) : duration{0};
}

result_code own_target::pace_refusal(time_point now) const {
    return this->pacer.binding_reason(now) == pace_reason::cold ? result_code::target_cold
                                                                : result_code::target_limited;
}

void own_target::check_if_due(time_point now) {
    bool const has_demand = this->last_demand.milliseconds > 0 && now - this->last_demand < demand_span;
    bool const is_wanted = this->is_cold && has_demand && !this->health_path.empty() &&
                           this->pacer.cold.tokens_at(now) < tokens_without_check &&
                           this->coldness.wants_check(now);
    if (!is_wanted || !this->may_send(now)) {
        return;
    }
    this->check_id = check_id_flag | ++this->checks_sent;
    this->check_instance = this->context.own_target_instance;
    this->check_sent = now;
    this->coldness.on_check_sent(now);
    this->pacer.record_sent(now);
    this->context.node_metrics.increment_counter("target_checks");
    this->context.pending_effects.target_requests.push_back({.id = this->check_id,
                                                             .method = "GET",
                                                             .path = this->health_path,
                                                             .deadline = now + check_timeout,
                                                             .instance = this->check_instance,
                                                             .is_health_check = true});
}

bool own_target::on_check_answer(target_answer const& answer, time_point now) {
    if ((answer.id & check_id_flag) == 0) {
        return false;
    }
    if (answer.id != this->check_id) {
        return true;
    }
    this->check_id = 0;
    this->coldness.on_check_ended();
    bool const is_answered = answer.code == result_code::ok && answer.statement && answer.statement->cold_ms;
    this->context.pending_effects.log(log_level::info, "target_checked",
                                      {{"instance", this->check_instance},
                                       {"code", std::string(caraway::describe(answer.code).name)},
                                       {"status", std::to_string(answer.status)},
                                       {"cold_ms", is_answered ? rounded(*answer.statement->cold_ms) : ""},
                                       {"after_ms", rounded((now - this->check_sent).milliseconds)}});
    if (is_answered && this->check_instance == this->context.own_target_instance) {
        this->last_contact = now;
        this->coldness.on_stated(duration{*answer.statement->cold_ms}, this->check_sent, now);
        this->set_cold_cause("target", now);
    }
    return true;
}

void own_target::adopt(target_id target, target_state const& state, time_point now) {
    bool const is_wanted = !this->is_known && target != 0 && target == this->incarnation;
    if (is_wanted && state.cold_until > now) {
        this->coldness.on_heard(state.cold_until - now, now);
        this->set_cold_cause("peer", now);
    }
    bool const is_restricted = state.rate_limit || state.leaving;
    if (!is_wanted || !is_restricted) {
        return;
    }
    this->is_known = true;
    this->set_rate_limit(state.rate_limit, "peer", now);
    if (state.leaving) {
        this->set_leaving("peer", now);
    }
}

void own_target::set_leaving(std::string const& source, time_point now) {
    this->leaving_since = now;
    if (!this->leaving) {
        this->leaving = true;
        this->context.pending_effects.log(
            log_level::info, "target_leaving_stated",
            {{"instance", this->context.own_target_instance}, {"source", source}});
    }
}

void own_target::set_rate_limit(std::optional<double> limit, std::string const& source, time_point now) {
    if (limit.has_value() != this->stated_limit.has_value()) {
        this->limited_since = now;
        this->context.pending_effects.log(log_level::info, "target_limit_stated",
                                          {{"limit", rate_text(limit)},
                                           {"before", rate_text(this->stated_limit)},
                                           {"instance", this->context.own_target_instance},
                                           {"source", source}});
    }
    this->stated_limit = limit;
    if (limit) {
        this->pacer.limit.set_limit(*limit, now);
    } else {
        this->pacer.limit.release(now);
    }
}

void own_target::record_sent(bool nested, time_point now) {
    this->pacer.record_sent(now);
    if (this->outstanding++ == 0) {
        this->last_contact = now;
    }
    ++this->since_log.sent;
    this->since_log.nested += nested ? 1 : 0;
    this->context.node_metrics.increment_counter("target_requests");
    this->check_if_due(now);
}

duration own_target::record_refusal(std::size_t queued, time_point now) {
    ++this->since_log.refused;
    this->context.node_metrics.increment_counter("target_limit_refusals");
    auto const turn = std::max(now + this->time_until_token(queued, now), this->next_return);
    this->next_return = std::min(turn + this->time_until_token(1, now) - this->time_until_token(0, now),
                                 now + max_return_delay);
    return turn - now;
}

void own_target::describe(host_report& report, time_point now) const {
    report.target = this->is_known ? this->context.own_target_id : 0;
    report.target_is_leaving = this->leaving;
    report.target_is_limited = this->stated_limit.has_value();
    if (this->stated_limit) {
        double const limit = std::min(*this->stated_limit, max_reported_limit);
        report.target_rate_limit = static_cast<std::uint32_t>(std::llround(limit * thousandths));
    }
    report.target_cold_ms = static_cast<std::uint32_t>(std::llround(this->cold_for(now).milliseconds));
    if (this->stated_limit || report.target_cold_ms > 0) {
        report.target_senders = static_cast<std::uint32_t>(this->senders.size());
    }
}

void own_target::record_end(request_end const& end) {
    auto& counted = end.is_answered ? this->since_log.answered
                                    : (end.has_run ? this->since_log.failed : this->since_log.not_run);
    ++counted;
    this->since_log.late += end.is_answered && end.is_late ? 1 : 0;
}

void own_target::run_periodic_tasks(time_point now) {
    // Where the host list does not tell incarnations apart, the next one would be taken for the one that
    // left.
    bool const is_distinguishable = !this->context.own_target_instance.empty();
    if (this->leaving && !is_distinguishable && now - this->leaving_since >= anonymous_leaving_lifetime) {
        this->leaving = false;
    }
    this->update_cold(now);
    this->update_warm_up(now);
    if (now - this->logged_at >= log_interval) {
        std::erase_if(this->senders,
                      [now](auto const& sender) { return now - sender.second >= sender_lifetime; });
        this->log_counts(now);
    }
}

void own_target::log_counts(time_point now) {
    auto const span = now - this->logged_at;
    auto const totals = std::exchange(this->since_log, {});
    this->logged_at = now;
    auto const reason = this->pacer.binding_reason(now);
    bool const has_counts = totals.sent > 0 || totals.refused > 0;
    this->context.pending_effects.log(log_level::debug, "target_work",
                                      {{"instance", this->context.own_target_instance},
                                       {"sent", std::to_string(totals.sent)},
                                       {"answered", std::to_string(totals.answered)},
                                       {"late", std::to_string(totals.late)},
                                       {"failed", std::to_string(totals.failed)},
                                       {"not_run", std::to_string(totals.not_run)},
                                       {"window", std::to_string(this->pacer.learned.window())}});
    if (!this->stated_limit && (reason == pace_reason::none || !has_counts)) {
        return;
    }
    this->context.pending_effects.log(log_level::info, "target_limit",
                                      {{"limit", rate_text(this->stated_limit)},
                                       {"reason", std::string(name_of(reason))},
                                       {"cold_ms", rounded(this->cold_for(now).milliseconds)},
                                       {"sent", std::to_string(totals.sent)},
                                       {"nested", std::to_string(totals.nested)},
                                       {"refused", std::to_string(totals.refused)},
                                       {"senders", std::to_string(this->senders.size())},
                                       {"span_ms", std::to_string(std::llround(span.milliseconds))}});
}

} // namespace caraway
