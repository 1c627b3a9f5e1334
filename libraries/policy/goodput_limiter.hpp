/// Admits fewer requests of a route on which many requests miss their deadline or end with a server error.
///
/// Executing hosts report which fraction of the requests they admit, but not whether these still finish in
/// time: a request is queued briefly at each of several levels, and a slightly overloaded call tree may
/// answer none of its requests in time. An entry node can observe how its own requests end, whichever level
/// delays them. Crashes and lost answers are not recorded. Critical requests are exempt
/// (request_router::admit).
#pragma once

#include "base/clock.hpp"

#include <string>
#include <unordered_map>

namespace caraway {

class goodput_limiter {
public:
    /// Records the outcome of a request that was answered, or that was sent and missed its deadline. `useful`
    /// means answered in time and without a server error.
    void record_outcome(std::string const& route, bool useful, time_point now);

    /// The fraction of the route's requests, from 0 to 1, to admit.
    double admission_fraction(std::string const& route, time_point now) const;

    /// The same while it is known that a service below the route refuses: most of its requests would fail
    /// after their work, and the report that the service accepts again ends this, so that few probes are
    /// enough.
    double probing_fraction(std::string const& route) const;

    /// Drops routes without recent outcomes; to be called every few seconds.
    void remove_expired(time_point now);

private:
    /// Counts with exponential decay.
    struct decayed_counts {
        double total{0};
        double useful{0};
        double latest_useful{1}; ///< Useful part of the latest outcomes, however old.
        time_point updated;
    };

    std::unordered_map<std::string, decayed_counts> routes;
};

} // namespace caraway
