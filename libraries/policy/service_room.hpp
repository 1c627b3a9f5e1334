/// Computes at the host beside a target which fraction of the offered work of each priority class the target
/// has room for, in slot time.
///
/// Demand is what arrives, each request weighted by the offered requests that it stands for, so that the
/// result does not depend on what entry nodes refuse meanwhile. The room is given to the classes in
/// descending order of priority.
#pragma once

#include "base/clock.hpp"
#include "policy/admission_controller.hpp"

#include <array>
#include <cstdint>

namespace caraway {

class service_room {
public:
    service_room();

    /// `slot_time`: how long the request will hold a slot. `offered_weight`: requests that it stands for.
    void record_arrival(std::size_t priority, duration slot_time, double offered_weight);
    /// Records one observation of whether requests are waiting for a slot.
    void record_backlog(bool waiting);

    /// Ends the window and recomputes the fractions if it is over. `slots`: requests that the target runs at
    /// once, as far as it may be sent as many.
    void update_if_due(double slots, time_point now);

    admission_fractions const& fractions() const { return this->class_fractions; }
    bool is_limiting() const { return this->limiting; }
    /// Slots that all offered work would occupy.
    double demand() const;
    /// The part of the slots that is given away.
    double usable_fraction() const { return this->usable; }

private:
    struct class_demand {
        double arrived{0}; ///< Slot time of the window, in milliseconds.
        double slots{0};
    };

    void update_usable(bool is_crowded, bool is_idle);
    void distribute(double room);

    std::array<class_demand, admission_class_count> classes;
    admission_fractions class_fractions{1, 1, 1};
    std::uint64_t observations{0};
    std::uint64_t backlog_observations{0};
    double backlog_fraction{0}; ///< Smoothed.
    double usable;
    bool limiting{false};
    time_point window_start;
};

} // namespace caraway
