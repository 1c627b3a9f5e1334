#include "policy/service_room.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

constexpr duration window_span{50};
constexpr duration demand_time_constant{100};
constexpr duration wait_time_constant{100};
/// The part of the slots that is given away: less while requests wait, so that the queue empties within about
/// `drain_span`. A root that is let in waits at each of its calls, so that their number counts as well.
constexpr double max_usable = 0.98;
constexpr double min_usable = 0.5;
constexpr duration tolerated_wait{10};
constexpr duration drain_span{1600};
constexpr duration calls_time_constant{2000};
constexpr double max_calls_per_root = 16;
constexpr double min_fraction = 0.02;
/// Limiting begins only when requests have also been seen waiting.
constexpr duration begin_wait{10};

double smoothing_of(duration span, duration time_constant) {
    return 1 - std::exp(-(span / time_constant));
}

} // namespace

void service_room::record_arrival(arrival const& request) {
    double const slot_time = request.slot_time.milliseconds * request.offered_weight;
    auto& entry = this->classes.at(std::min(request.priority, admission_class_count - 1));
    ++this->arrivals;
    entry.arrived += slot_time;
    if (slot_time > 0) {
        ++this->roots;
        entry.shares.record(request.organisation, request.share, slot_time);
    }
}

void service_room::record_queue(std::size_t waiting_requests) {
    ++this->observations;
    this->waiting += static_cast<double>(waiting_requests);
}

double service_room::demand() const {
    double total = 0;
    for (auto const& entry : this->classes) {
        total += entry.slots;
    }
    return total;
}

void service_room::update_if_due(double slots, duration mean_slot_time, time_point now) {
    auto const span = now - this->window_start;
    if (span < window_span) {
        return;
    }
    this->window_start = now;
    this->update_demand(span);
    this->update_calls_per_root(span);
    this->update_wait(slots, mean_slot_time, span);
    double const total = this->demand();
    this->limiting = total > slots * this->usable && (this->limiting || this->smoothed_wait > begin_wait);
    if (!this->limiting) {
        this->class_fractions = {1, 1, 1};
        this->named.clear();
        return;
    }
    this->distribute(slots * this->usable);
}

void service_room::update_demand(duration span) {
    for (auto& entry : this->classes) {
        entry.slots +=
            smoothing_of(span, demand_time_constant) * (entry.arrived / span.milliseconds - entry.slots);
        entry.arrived = 0;
        entry.shares.update(span);
    }
}

void service_room::update_calls_per_root(duration span) {
    if (this->roots > 0) {
        double const calls = std::min(max_calls_per_root, this->arrivals / this->roots);
        this->calls_per_root += smoothing_of(span, calls_time_constant) * (calls - this->calls_per_root);
    }
    this->arrivals = 0;
    this->roots = 0;
}

void service_room::update_wait(double slots, duration mean_slot_time, duration span) {
    double const queued = this->observations == 0 ? 0 : this->waiting / this->observations;
    duration const current{queued * mean_slot_time.milliseconds / std::max(1.0, slots)};
    auto const smoothing = smoothing_of(span, wait_time_constant);
    this->smoothed_wait = {this->smoothed_wait.milliseconds +
                           smoothing * (current.milliseconds - this->smoothed_wait.milliseconds)};
    this->observations = 0;
    this->waiting = 0;
    double const excess =
        std::max(0.0, this->calls_per_root * ((this->smoothed_wait - tolerated_wait) / drain_span));
    this->usable = std::max(min_usable, max_usable - excess);
}

void service_room::distribute(double room) {
    std::array<organisation_fractions, admission_class_count> divided;
    for (std::size_t priority = 0; priority < admission_class_count; ++priority) {
        auto const& entry = this->classes.at(priority);
        double const granted = std::min(entry.slots, room);
        double const fraction = entry.slots > 0 ? granted / entry.slots : (room > 0 ? 1.0 : 0.0);
        divided.at(priority) = entry.shares.divide(std::clamp(fraction, min_fraction, 1.0));
        this->class_fractions.at(priority) = divided.at(priority).others;
        room -= granted;
    }
    this->named.clear();
    for (std::size_t priority = 0; priority < admission_class_count; ++priority) {
        for (auto const& [organisation, fraction] : divided.at(priority).named) {
            this->named.try_emplace(organisation, this->class_fractions).first->second.at(priority) =
                fraction;
        }
    }
}

} // namespace caraway
