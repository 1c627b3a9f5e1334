/// Lets in less of what mostly ends too late or in an error.
///
/// Executing hosts report what part of the requests they admit. That does not tell whether what they admit
/// still ends in time: a request waits a little at each of several levels, and a tree that is slightly too
/// full carries nothing at all. The most urgent requests are not held back by it (originator). What a first
/// node sees itself, of whatever cause below, is how its own requests end.
#pragma once

#include "base/clock.hpp"

#include <string>
#include <unordered_map>

namespace caraway {

class goodput_limiter {
public:
    /// A request that had reached a target ended. `useful`: with an answer in time that is no server error.
    void record_outcome(std::string const& route, bool useful, time_point now);

    /// The part of the route's requests, from 0 to 1, that should be let in.
    double admission_fraction(std::string const& route, time_point now) const;

    /// Forgets routes without news; needed every few seconds.
    void remove_expired(time_point now);

private:
    /// Counts that fade.
    struct decayed_counts {
        double total{0};
        double useful{0};
        time_point updated;
    };

    std::unordered_map<std::string, decayed_counts> routes;
};

} // namespace caraway
