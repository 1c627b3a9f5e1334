#include "node/entry_admission.hpp"

#include <algorithm>

namespace caraway {

namespace {

/// Earliest return of an urgent caller, and the span over which callers of a class are spread.
constexpr double first_return_ms = 200;
constexpr double min_return_span_ms = 200;
constexpr double return_span_ms = 600;
constexpr double class_return_delay_ms = 150;
/// Callers come back only if that takes at most this part of their time left.
constexpr double max_part_of_time_left = 0.33;

} // namespace

entry_admission::decision entry_admission::decide(forward_message const& request, std::string const& service,
                                                  time_point now) const {
    decision made;
    if (!this->context.has_full_control()) {
        return made;
    }
    auto const priority = std::min<std::size_t>(request.priority, admission_class_count - 1);
    if (this->context.admits_by_cost()) {
        made.limited =
            this->context.rooms.bottleneck_of(request.route, service, request.organisation, priority, now);
        made.fraction = made.limited.fraction;
    } else {
        made.fraction =
            this->context.admissions.min_fraction(request.route, request.organisation, request.priority, now);
    }
    // Critical requests are exempt from the goodput limit: shedding the others relieves them as well.
    double useful = 1;
    if (request.priority != static_cast<std::uint8_t>(priority_class::critical)) {
        auto const refusing = this->context.admits_by_cost()
                                  ? this->context.rooms.refusing_service_of(request.route, service, now)
                                  : std::string{};
        useful = refusing.empty() ? this->goodput.admission_fraction(request.route, now)
                                  : this->goodput.probing_fraction(request.route);
        if (!refusing.empty() && useful < made.fraction) {
            made.limited = {.service = refusing, .fraction = useful, .is_refusing = true, .age = {}};
        }
    }
    made.fraction = std::min(made.fraction, useful);
    // What is held back because it would fail asks for no room.
    made.offered_weight = useful / made.fraction;
    made.admitted = selection_position(request.selection_hash) < made.fraction;
    return made;
}

duration entry_admission::return_delay(forward_message const& request, decision const& refused, duration left,
                                       double position) {
    double const span = min_return_span_ms + return_span_ms * (1 - refused.fraction);
    double const wanted = first_return_ms + class_return_delay_ms * request.priority + span * position;
    return {std::min(wanted, std::max(first_return_ms / 2, left.milliseconds * max_part_of_time_left))};
}

void entry_admission::record_room(std::string const& from, std::string const& route,
                                  answer_message const& answer, time_point now) {
    for (auto const& report : answer.admissions) {
        service_room_view::statement stated{report.admission_fractions, report.answered_fraction, {}};
        for (auto const& entry : report.organisations) {
            stated.organisations[entry.organisation] = entry.admission_fractions;
        }
        this->context.rooms.update_room(report.service, from, stated, {report.age_ms}, now);
    }
    if (answer.costs.empty()) {
        return;
    }
    service_costs costs;
    for (auto const& entry : answer.costs) {
        costs[entry.service] = entry.milliseconds;
    }
    this->context.rooms.update_costs(route, costs, now);
}

void entry_admission::record_reports(forward_message const& request,
                                     std::vector<admission_report> const& reports,
                                     report_context const& origin, time_point now) {
    for (auto const& report : reports) {
        if (report.service == origin.service_to_skip) {
            continue;
        }
        this->context.admissions.update(request.route, report.service, request.organisation,
                                        report.admission_fractions, now);
        if (origin.parent == nullptr) {
            continue;
        }
        auto const [known, inserted] =
            origin.parent->admissions.try_emplace(report.service, report.admission_fractions);
        for (std::size_t index = 0; !inserted && index < report.admission_fractions.size(); ++index) {
            known->second.at(index) = std::min(known->second.at(index), report.admission_fractions.at(index));
        }
    }
}

} // namespace caraway
