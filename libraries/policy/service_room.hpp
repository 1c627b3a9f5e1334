/// Computes at the host beside a target which fraction of the offered work of each priority class the target
/// has room for, in slot time.
///
/// Demand is what arrives, each request weighted by the offered requests that it stands for, so that the
/// result does not depend on what entry nodes refuse meanwhile. The room is given to the classes in
/// descending order of priority. A part of it is kept back while requests wait, so that the queue empties.
#pragma once

#include "base/clock.hpp"
#include "policy/admission_controller.hpp"
#include "policy/organisation_shares.hpp"

#include <array>
#include <map>
#include <string>

namespace caraway {

class service_room {
public:
    struct arrival {
        std::size_t priority{0};
        duration slot_time;         ///< How long the request will hold a slot.
        double offered_weight{1};   ///< Requests that it stands for; 0 if others have told of it.
        std::string organisation{}; ///< That the offered requests are charged to.
        double share{1};            ///< Weight of the organisation.
    };

    void record_arrival(arrival const& request);
    /// Records one observation of how many requests wait for a slot.
    void record_queue(std::size_t waiting);

    /// Ends the window and recomputes the fractions if it is over. `slots`: requests that the target runs at
    /// once, as far as it may be sent as many. `mean_slot_time`: of one request that waits.
    void update_if_due(double slots, duration mean_slot_time, time_point now);

    /// For the organisations that are not named.
    admission_fractions const& fractions() const { return this->class_fractions; }
    /// Organisations that are let in with less than others of a class.
    std::map<std::string, admission_fractions> const& named_fractions() const { return this->named; }
    bool is_limiting() const { return this->limiting; }
    /// Slots that all offered work would occupy.
    double demand() const;
    /// The part of the slots that is given away.
    double usable_fraction() const { return this->usable; }
    /// How long a request waits for a slot.
    duration wait() const { return this->smoothed_wait; }

private:
    struct class_demand {
        double arrived{0}; ///< Slot time of the window, in milliseconds.
        double slots{0};
        organisation_shares shares;
    };

    void update_demand(duration span);
    void update_calls_per_root(duration span);
    void update_wait(double slots, duration mean_slot_time, duration span);
    void distribute(double room);

    std::array<class_demand, admission_class_count> classes;
    admission_fractions class_fractions{1, 1, 1};
    std::map<std::string, admission_fractions> named;
    double arrivals{0};       ///< Of the window.
    double roots{0};          ///< The same, without further calls.
    double calls_per_root{1}; ///< Smoothed.
    double observations{0};
    double waiting{0}; ///< Sum over the observations of the window.
    duration smoothed_wait{0};
    double usable{1};
    bool limiting{false};
    time_point window_start;
};

} // namespace caraway
