#include "node/entry_admission.hpp"

#include <algorithm>

namespace caraway {

bool entry_admission::admits(forward_message const& request, time_point now) const {
    if (!this->context.has_full_control()) {
        return true;
    }
    auto fraction =
        this->context.admissions.min_fraction(request.route, request.organisation, request.priority, now);
    // Critical requests are exempt from the goodput limit: shedding the others relieves them as well.
    if (request.priority != static_cast<std::uint8_t>(priority_class::critical)) {
        fraction = std::min(fraction, this->goodput.admission_fraction(request.route, now));
    }
    return selection_position(request.selection_hash) < fraction;
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
