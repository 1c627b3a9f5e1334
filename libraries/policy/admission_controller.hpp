/// What part of the offered requests an executing host can admit, by organisation and priority class.
///
/// Capacity is what the target was seen to complete while work was waiting. It is given to the priority
/// classes in their order, and within a class to the organisations by weighted max-min fairness. The
/// resulting parts travel back on answers, so that first nodes refuse early what would be refused here.
#pragma once

#include "base/clock.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace caraway {

inline constexpr std::size_t admission_class_count = 3;

/// The admitted part, from 0 to 1, for each priority class.
using admission_fractions = std::array<double, admission_class_count>;

class admission_controller {
public:
    /// A request came in; `weight` is its organisation's share under overload.
    void record_arrival(std::string const& organisation, std::size_t priority, double weight);
    void record_completion();
    /// Whether, at this instant, work is waiting for a slot.
    void record_backlog(bool waiting);

    /// Closes the window when its time has come.
    void update_if_due(time_point now);

    admission_fractions fractions_for(std::string const& organisation) const;
    double capacity_per_second() const { return this->capacity; }
    bool is_limiting() const { return this->limiting; }

private:
    struct class_state {
        std::uint64_t arrivals{0};
        double demand{0}; ///< Requests per second offered, also those that first nodes refused.
        double fraction{1};
    };
    struct organisation_state {
        double weight{1};
        std::array<class_state, admission_class_count> classes;
    };

    void update_capacity(double seconds);
    void update_demand(double seconds);
    void distribute_capacity();
    double distribute_to_class(std::size_t priority, double remaining);

    std::unordered_map<std::string, organisation_state> organisations;
    std::uint64_t completions{0};
    std::uint64_t observations{0};
    std::uint64_t backlog_observations{0};
    double capacity{0}; ///< Requests per second; 0 while never saturated.
    bool limiting{false};
    time_point window_start;
};

} // namespace caraway
