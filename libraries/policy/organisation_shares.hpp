/// Divides the room of one priority class among the organisations by weighted max-min fairness of cost.
///
/// Only the organisations that lose most are named; all others share one fraction, so that reports stay
/// short.
#pragma once

#include "base/clock.hpp"

#include <map>
#include <string>

namespace caraway {

/// The fraction, from 0 to 1, that each organisation is let in with.
struct organisation_fractions {
    std::map<std::string, double> named;
    double others{1};
};

class organisation_shares {
public:
    /// `slot_time`: of offered work, in milliseconds. `weight`: for sharing room.
    void record(std::string const& organisation, double weight, double slot_time);
    /// Ends a window of this length.
    void update(duration span);
    /// Divides `fraction` of the demand of all organisations.
    organisation_fractions divide(double fraction) const;

private:
    struct demand {
        double weight{1};
        double arrived{0}; ///< In the window.
        double slots{0};
    };

    std::map<std::string, demand> demands;
};

} // namespace caraway
