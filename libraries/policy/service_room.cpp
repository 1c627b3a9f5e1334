#include "policy/service_room.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

constexpr duration window_span{100};
constexpr duration demand_time_constant{400};
constexpr duration backlog_time_constant{400};
/// Bounds of the part of the slots that is given away, and how fast it follows the backlog.
constexpr double initial_usable = 0.95;
constexpr double min_usable = 0.2;
constexpr double max_usable = 1.1;
constexpr double usable_decrease = 0.95;
constexpr double usable_increase = 1.1;
/// Requests wait too often above the first fraction, and there is room for more below the second. Requests
/// that fail midway make fewer calls, so that demand alone would be taken for less than it is.
constexpr double crowded_fraction = 0.7;
constexpr double idle_fraction = 0.3;
constexpr double min_fraction = 0.02;
/// Limiting begins only when requests have also been seen waiting.
constexpr double begin_fraction = 0.2;

double smoothing_of(duration span, duration time_constant) {
    return 1 - std::exp(-(span / time_constant));
}

} // namespace

service_room::service_room() : usable(initial_usable) {}

void service_room::record_arrival(std::size_t priority, duration slot_time, double offered_weight) {
    this->classes.at(std::min(priority, admission_class_count - 1)).arrived +=
        slot_time.milliseconds * offered_weight;
}

void service_room::record_backlog(bool waiting) {
    ++this->observations;
    this->backlog_observations += waiting ? 1 : 0;
}

double service_room::demand() const {
    double total = 0;
    for (auto const& entry : this->classes) {
        total += entry.slots;
    }
    return total;
}

void service_room::update_if_due(double slots, time_point now) {
    auto const span = now - this->window_start;
    if (span < window_span) {
        return;
    }
    for (auto& entry : this->classes) {
        entry.slots +=
            smoothing_of(span, demand_time_constant) * (entry.arrived / span.milliseconds - entry.slots);
        entry.arrived = 0;
    }
    double const waiting = this->observations == 0 ? 0.0
                                                   : static_cast<double>(this->backlog_observations) /
                                                         static_cast<double>(this->observations);
    this->backlog_fraction += smoothing_of(span, backlog_time_constant) * (waiting - this->backlog_fraction);
    this->observations = 0;
    this->backlog_observations = 0;
    this->window_start = now;
    double const total = this->demand();
    if (!this->limiting) {
        this->limiting = total > slots * this->usable && this->backlog_fraction >= begin_fraction;
    } else {
        this->update_usable(this->backlog_fraction > crowded_fraction,
                            this->backlog_fraction < idle_fraction);
        this->limiting = total > slots * this->usable || this->backlog_fraction > crowded_fraction;
    }
    if (!this->limiting) {
        this->usable = initial_usable;
        this->class_fractions = {1, 1, 1};
        return;
    }
    this->distribute(slots * this->usable);
}

void service_room::update_usable(bool is_crowded, bool is_idle) {
    double const factor = is_crowded ? usable_decrease : is_idle ? usable_increase : 1.0;
    this->usable = std::clamp(this->usable * factor, min_usable, max_usable);
}

void service_room::distribute(double room) {
    for (std::size_t priority = 0; priority < admission_class_count; ++priority) {
        double const wanted = this->classes.at(priority).slots;
        double const granted = std::min(wanted, room);
        this->class_fractions.at(priority) =
            wanted > 0 ? std::clamp(granted / wanted, min_fraction, 1.0) : (room > 0 ? 1.0 : min_fraction);
        room -= granted;
    }
}

} // namespace caraway
