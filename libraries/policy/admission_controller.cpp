#include "policy/admission_controller.hpp"

#include <algorithm>
#include <vector>

namespace caraway {

namespace {

constexpr duration window_span{100};
/// Admits slightly more than the measured throughput, so that an increase in capacity is detected.
constexpr double probe_factor = 1.03;
/// Growth of the capacity estimate in each window in which the host is not saturated.
constexpr double growth_factor = 1.15;
/// Below this fraction too few requests arrive to estimate the offered demand.
constexpr double min_fraction = 0.02;
constexpr double demand_smoothing = 0.15;
constexpr double capacity_smoothing = 0.3;
/// A window is saturated when at least this fraction of its observations saw a backlog.
constexpr double saturated_fraction = 0.3;
/// Requests/s; organisations whose demand is lower in every class are dropped.
constexpr double min_tracked_demand = 0.05;

} // namespace

void admission_controller::record_arrival(std::string const& organisation, std::size_t priority,
                                          double weight) {
    auto& state = this->organisations[organisation];
    state.weight = weight;
    ++state.classes.at(priority).arrivals;
}

void admission_controller::record_completion() {
    ++this->completions;
}

void admission_controller::record_backlog(bool waiting) {
    ++this->observations;
    this->backlog_observations += waiting ? 1 : 0;
}

void admission_controller::update_if_due(time_point now) {
    auto const span = now - this->window_start;
    if (span < window_span) {
        return;
    }
    double const seconds = span.seconds();
    this->update_demand(seconds);
    this->update_capacity(seconds);
    this->distribute_capacity();
    this->completions = 0;
    this->observations = 0;
    this->backlog_observations = 0;
    this->window_start = now;
}

void admission_controller::update_demand(double seconds) {
    for (auto& [name, state] : this->organisations) {
        for (auto& entry : state.classes) {
            double const offered =
                static_cast<double>(entry.arrivals) / seconds / std::max(entry.fraction, min_fraction);
            entry.demand += demand_smoothing * (offered - entry.demand);
            entry.arrivals = 0;
        }
    }
    std::erase_if(this->organisations, [](auto const& entry) {
        return std::ranges::all_of(
            entry.second.classes, [](class_state const& state) { return state.demand < min_tracked_demand; });
    });
}

void admission_controller::update_capacity(double seconds) {
    double const carried = static_cast<double>(this->completions) / seconds;
    bool const saturated =
        this->observations > 0 && static_cast<double>(this->backlog_observations) >=
                                      saturated_fraction * static_cast<double>(this->observations);
    if (saturated) {
        this->capacity = this->limiting
                             ? this->capacity + capacity_smoothing * (carried * probe_factor - this->capacity)
                             : carried;
        this->limiting = true;
    } else if (this->limiting) {
        this->capacity = std::max(this->capacity, carried) * growth_factor;
    }
}

void admission_controller::distribute_capacity() {
    if (!this->limiting) {
        return;
    }
    double total = 0;
    for (auto const& [name, state] : this->organisations) {
        for (auto const& entry : state.classes) {
            total += entry.demand;
        }
    }
    double remaining = this->capacity;
    for (std::size_t priority = 0; priority < admission_class_count; ++priority) {
        remaining -= this->distribute_to_class(priority, std::max(0.0, remaining));
    }
    // Capacity for twice the demand: stop limiting.
    if (this->capacity > 2 * total) {
        this->limiting = false;
    }
}

double admission_controller::distribute_to_class(std::size_t priority, double remaining) {
    struct claim {
        class_state* state;
        double weight;
    };
    std::vector<claim> claims;
    double weights = 0;
    for (auto& [name, state] : this->organisations) {
        claims.push_back({&state.classes.at(priority), state.weight});
        weights += state.weight;
    }
    // Max-min fairness: serve the smallest demand per weight first and share the surplus among the others.
    std::ranges::sort(claims, {}, [](claim const& entry) { return entry.state->demand / entry.weight; });
    double used = 0;
    for (auto const& entry : claims) {
        double const fair = std::max(0.0, remaining - used) * entry.weight / weights;
        double const granted = std::min(entry.state->demand, fair);
        entry.state->fraction =
            entry.state->demand > 0 ? std::clamp(granted / entry.state->demand, min_fraction, 1.0) : 1.0;
        used += granted;
        weights -= entry.weight;
    }
    return used;
}

admission_fractions admission_controller::fractions_for(std::string const& organisation) const {
    admission_fractions fractions{1, 1, 1};
    auto const found = this->organisations.find(organisation);
    if (!this->limiting || found == this->organisations.end()) {
        return fractions;
    }
    for (std::size_t priority = 0; priority < admission_class_count; ++priority) {
        fractions.at(priority) = found->second.classes.at(priority).fraction;
    }
    return fractions;
}

} // namespace caraway
