#include "node/load_accounting.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

/// How long answers say that the own target has room for all again.
constexpr duration news_span{2000};
/// How often one receiver is told of the room, and of the costs, of one route.
constexpr duration room_interval{50};
constexpr duration cost_interval{2000};
constexpr duration told_lifetime{4000};
constexpr double min_reported_cost = 0.5;
constexpr double max_offered_weight = 1000;

std::vector<organisation_report>
describe_organisations(std::map<std::string, admission_fractions> const& fractions) {
    std::vector<organisation_report> reports;
    for (auto const& [organisation, values] : fractions) {
        reports.push_back({organisation, values});
    }
    return reports;
}

} // namespace

void load_accounting::record_arrival(forward_message const& request) {
    auto const* charged = this->context.configuration->find_organisation(request.charged_organisation);
    this->room.record_arrival({.priority = request.charged_priority,
                               .slot_time = this->estimator.slot_time(request.route),
                               .offered_weight = std::clamp(request.offered_weight, 0.0, max_offered_weight),
                               .organisation = request.charged_organisation,
                               .share = charged == nullptr ? 1 : charged->weight});
}

void load_accounting::record_start(std::uint64_t id, forward_message const& request, time_point now) {
    this->estimator.record_start(request.route, now);
    this->running[request.route].push_back(id);
    if (request.offered_weight <= 0) {
        return;
    }
    for (auto const& [callee, count] : this->estimator.calls_of(request.route)) {
        this->owed.add(callee, {request.charged_organisation, request.charged_priority,
                                count * std::min(request.offered_weight, max_offered_weight)});
    }
}

void load_accounting::record_end(std::uint64_t id, forward_message const& request, duration slot_time,
                                 time_point now) {
    this->estimator.record_end(request.route, slot_time, now);
    auto& ids = this->running[request.route];
    auto const found = std::ranges::find(ids, id);
    if (found != ids.end()) {
        *found = ids.back();
        ids.pop_back();
    }
    if (ids.empty()) {
        this->running.erase(request.route);
    }
}

std::uint64_t load_accounting::draw_parent(std::string const& callee) const {
    auto const route = this->estimator.draw_parent_route(callee, selection_position(random_number()));
    auto const found = this->running.find(route);
    return found == this->running.end() ? 0 : found->second[random_number() % found->second.size()];
}

void load_accounting::charge(forward_message& call, forward_message const* parent) {
    if (this->estimator.is_fitted(call.route)) {
        auto taken = this->owed.take(call.route);
        call.charged_organisation = std::move(taken.organisation);
        call.charged_priority = taken.priority;
        call.offered_weight = taken.count;
    } else if (parent != nullptr) {
        call.charged_organisation = parent->charged_organisation;
        call.charged_priority = parent->charged_priority;
        call.offered_weight = parent->offered_weight;
    }
}

void load_accounting::update_if_due(int limit, double pace, time_point now) {
    if (this->context.rooms.refusing_services(now).empty()) {
        this->estimator.update_if_due(now);
    } else {
        this->estimator.discard_window(now);
    }
    double slots = limit;
    if (pace > 0) {
        slots = std::min(slots, pace * this->estimator.mean_slot_time().seconds());
    }
    this->room.update_if_due(slots, this->estimator.mean_slot_time(), now);
    double const accepted = this->answered.value(now);
    if (this->room.is_limiting() || service_room_view::is_refusing(accepted)) {
        this->last_limiting = now;
    }
    bool const is_news = now - this->last_limiting < news_span;
    if (is_news) {
        this->context.rooms.update_room(this->context.options.service, this->context.options.host,
                                        {this->room.fractions(), accepted, this->room.named_fractions()}, {0},
                                        now);
    }
}

std::vector<admission_report> load_accounting::room_reports(service_costs const& costs,
                                                            time_point now) const {
    std::vector<admission_report> reports;
    auto const& own = this->context.options.service;
    if (now - this->last_limiting < news_span) {
        reports.push_back({own, this->room.fractions(), 0, this->answered.value(now),
                           describe_organisations(this->room.named_fractions())});
    }
    for (auto const& [service, cost] : costs) {
        if (service == own || cost < min_reported_cost || !this->context.rooms.is_newsworthy(service, now)) {
            continue;
        }
        auto const known = this->context.rooms.room_of(service, now);
        reports.push_back({service, known.fractions, known.age.milliseconds, known.answered,
                           describe_organisations(known.organisations)});
    }
    for (auto const& service : this->context.rooms.refusing_services(now)) {
        if (service == own ||
            std::ranges::find(reports, service, &admission_report::service) != reports.end()) {
            continue;
        }
        // Routes that don't use it pass this on as well: few requests of those that do are let in.
        auto const known = this->context.rooms.room_of(service, now);
        reports.push_back({service, known.fractions, known.age.milliseconds, known.answered,
                           describe_organisations(known.organisations)});
    }
    return reports;
}

void load_accounting::describe(answer_message& answer, std::string const& route, std::string const& receiver,
                               time_point now) {
    auto const known = this->told.find({route, receiver});
    if (known != this->told.end() && now - known->second.room < room_interval) {
        return;
    }
    auto const costs = this->costs_of(route);
    auto reports = this->room_reports(costs, now);
    if (reports.empty()) {
        return;
    }
    auto const [entry, inserted] = this->told.try_emplace({route, receiver});
    entry->second.room = now;
    answer.admissions = std::move(reports);
    if (!inserted && now - entry->second.costs < cost_interval) {
        return;
    }
    entry->second.costs = now;
    for (auto const& [service, cost] : costs) {
        if (cost >= min_reported_cost) {
            answer.costs.push_back({service, std::round(cost)});
        }
    }
}

service_costs load_accounting::costs_of(std::string const& route) const {
    service_costs total;
    total[this->context.options.service] = this->estimator.slot_time(route).milliseconds;
    for (auto const& [callee, count] : this->estimator.calls_of(route)) {
        for (auto const& [service, cost] : this->context.rooms.costs_of(callee)) {
            total[service] += count * cost;
        }
    }
    return total;
}

void load_accounting::remove_expired(time_point now) {
    std::erase_if(this->told, [now](auto const& entry) { return now - entry.second.room >= told_lifetime; });
}

} // namespace caraway
