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

std::string rate_text(std::optional<double> limit) {
    return limit ? std::to_string(std::round(*limit * thousandths) / thousandths) : "none";
}

} // namespace

void own_target::on_listed(target_id listed, time_point now) {
    this->context.own_target_id = listed;
    if (listed == 0 || listed == this->incarnation) {
        return; // An entry that has expired may be back under the same incarnation.
    }
    this->incarnation = listed;
    this->set_rate_limit(std::nullopt, "new_incarnation", now);
    this->limiter.reset();
    this->is_known = false;
    this->leaving = false;
    // Peers may have told what the target states before the host list named it.
    if (auto const* known = this->context.targets.find(listed)) {
        this->adopt(listed, target_state(*known), now);
    }
}

void own_target::on_statement(target_statement const& statement, std::string const& instance,
                              time_point now) {
    if (instance != this->context.own_target_instance) {
        return; // A late answer of an earlier incarnation.
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

void own_target::adopt(target_id target, target_state const& state, time_point now) {
    bool const is_wanted = !this->is_known && target != 0 && target == this->incarnation;
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
        this->limiter.set_limit(*limit, now);
    } else {
        this->limiter.release(now);
    }
}

void own_target::record_sent(bool nested, time_point now) {
    this->limiter.record_sent(now);
    ++this->since_log.sent;
    this->since_log.nested += nested ? 1 : 0;
    this->context.node_metrics.increment_counter("target_requests");
}

duration own_target::record_refusal(std::size_t queued, time_point now) {
    ++this->since_log.refused;
    this->context.node_metrics.increment_counter("target_limit_refusals");
    auto const turn = std::max(now + this->limiter.time_until_token(queued, now), this->next_return);
    this->next_return =
        std::min(turn + this->limiter.time_until_token(1, now) - this->limiter.time_until_token(0, now),
                 now + max_return_delay);
    return turn - now;
}

void own_target::describe(host_report& report) const {
    report.target = this->is_known ? this->context.own_target_id : 0;
    report.target_is_leaving = this->leaving;
    report.target_is_limited = this->stated_limit.has_value();
    if (this->stated_limit) {
        double const limit = std::min(*this->stated_limit, max_reported_limit);
        report.target_rate_limit = static_cast<std::uint32_t>(std::llround(limit * thousandths));
        report.target_senders = static_cast<std::uint32_t>(this->senders.size());
    }
}

void own_target::run_periodic_tasks(time_point now) {
    // Where the host list does not tell incarnations apart, the next one would be taken for the one that
    // left.
    bool const is_distinguishable = !this->context.own_target_instance.empty();
    if (this->leaving && !is_distinguishable && now - this->leaving_since >= anonymous_leaving_lifetime) {
        this->leaving = false;
    }
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
    if (!this->stated_limit) {
        return;
    }
    this->context.pending_effects.log(log_level::info, "target_limit",
                                      {{"limit", rate_text(this->stated_limit)},
                                       {"sent", std::to_string(totals.sent)},
                                       {"nested", std::to_string(totals.nested)},
                                       {"refused", std::to_string(totals.refused)},
                                       {"senders", std::to_string(this->senders.size())},
                                       {"span_ms", std::to_string(std::llround(span.milliseconds))}});
}

} // namespace caraway
