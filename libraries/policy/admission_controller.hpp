/// Computes which fraction of the offered requests an executing host can admit, by organisation and priority
/// class.
///
/// Capacity is the throughput of the target measured while requests were queued. It is assigned to the
/// priority classes in descending order of priority, and within a class to the organisations by weighted
/// max-min fairness. Answers carry the resulting fractions back, so that entry nodes reject early what would
/// be rejected here.
#pragma once

#include "base/clock.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace caraway {

inline constexpr std::size_t admission_class_count = 3;

/// The admission fraction, from 0 to 1, for each priority class.
using admission_fractions = std::array<double, admission_class_count>;

class admission_controller {
public:
    /// `weight` is the organisation's weight for sharing capacity under overload.
    void record_arrival(std::string const& organisation, std::size_t priority, double weight);
    void record_completion();
    /// Records one observation of whether requests are waiting for a slot.
    void record_backlog(bool waiting);

    /// Ends the measurement window and recomputes the fractions if the window is over.
    void update_if_due(time_point now);

    admission_fractions fractions_for(std::string const& organisation) const;
    double capacity_per_second() const { return this->capacity; }
    bool is_limiting() const { return this->limiting; }

private:
    struct class_state {
        std::uint64_t arrivals{0};
        double demand{0}; ///< Requests per second offered, including those that entry nodes rejected.
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
    double capacity{0}; ///< Requests per second; 0 until the first saturation.
    bool limiting{false};
    time_point window_start;
};

} // namespace caraway
