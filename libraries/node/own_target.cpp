#include "node/own_target.hpp"

#include <cmath>
#include <utility>

namespace caraway {

namespace {

constexpr duration log_interval{1000};

std::string rate_text(std::optional<double> limit) {
    constexpr double thousandths = 1000;
    return limit ? std::to_string(std::round(*limit * thousandths) / thousandths) : "none";
}

} // namespace

void own_target::on_statement(target_statement const& statement, time_point) {
    if (statement.has_unreadable_rate_limit) {
        this->context.node_metrics.increment_counter("target_limits_unreadable");
    } else {
        this->set_rate_limit(statement.rate_limit);
    }
    if (statement.leaving && !this->leaving) {
        this->context.pending_effects.log(log_level::info, "target_leaving_stated",
                                          {{"instance", this->context.own_target_instance}});
    }
    this->leaving = statement.leaving;
}

void own_target::set_rate_limit(std::optional<double> limit) {
    if (limit.has_value() != this->stated_limit.has_value()) {
        this->context.pending_effects.log(log_level::info, "target_limit_stated",
                                          {{"limit", rate_text(limit)},
                                           {"before", rate_text(this->stated_limit)},
                                           {"instance", this->context.own_target_instance}});
    }
    this->stated_limit = limit;
}

void own_target::record_sent(bool nested) {
    ++this->sent.all;
    this->sent.nested += nested ? 1 : 0;
    this->context.node_metrics.increment_counter("target_requests");
}

void own_target::run_periodic_tasks(time_point now) {
    if (now - this->logged_at >= log_interval) {
        this->log_sent(now);
    }
}

void own_target::log_sent(time_point now) {
    auto const span = now - this->logged_at;
    auto const counts = std::exchange(this->sent, {});
    this->logged_at = now;
    if (!this->stated_limit) {
        return;
    }
    this->context.pending_effects.log(log_level::info, "target_limit",
                                      {{"limit", rate_text(this->stated_limit)},
                                       {"sent", std::to_string(counts.all)},
                                       {"nested", std::to_string(counts.nested)},
                                       {"span_ms", std::to_string(std::llround(span.milliseconds))}});
}

} // namespace caraway
