/// Learns at the host beside a target what one run of each route costs: the time for which it holds a slot
/// there, and the calls that it makes, without knowing which run made which call.
///
/// Calls of a route are taken for a Poisson process with a constant rate while a run of it is in progress.
/// The rates are fitted to the calls of a short window by expectation maximisation.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace caraway {

/// Slot time in milliseconds that one request takes at the targets of each service.
using service_costs = std::map<std::string, double>;

class call_cost_estimator {
public:
    void record_start(std::string const& route, time_point now);
    /// `slot_time`: how long the run held a slot.
    void record_end(std::string const& route, duration slot_time, time_point now);
    /// A call that the target made; `parent_route` is empty when the run that made it is not known.
    void record_call(std::string const& callee, std::string const& parent_route, time_point now);

    /// Refits the rates if that is due.
    void update_if_due(time_point now);

    /// Forgets what the window holds, but not the rates: for a time in which runs fail midway, so that they
    /// make fewer calls than usual.
    void discard_window(time_point now);

    /// The route whose run probably made a call; drawn by `position` from [0, 1). Empty when none runs.
    std::string draw_parent_route(std::string const& callee, double position) const;

    /// Whether it is known which routes call `callee`.
    bool is_fitted(std::string const& callee) const;
    /// Calls of `callee` that one run of the route makes; 0 while too little is known.
    double calls_per_run(std::string const& route, std::string const& callee) const;
    /// By callee.
    std::map<std::string, double> calls_of(std::string const& route) const;
    /// Mean slot time of one run; 0 while no run has ended.
    duration slot_time(std::string const& route) const;
    /// Mean slot time of one run of any route, weighted by their frequency; 0 while no run has ended.
    duration mean_slot_time() const;

private:
    struct run_statistics {
        int running{0};
        double exposure{0}; ///< Sum over the runs of the time in progress, in milliseconds.
        double started{0};
        double slot_time{0};
        double ended{0}; ///< Decayed count; the weight of `slot_time`.
        time_point updated;
    };
    /// State of all routes at one instant, in the order of `routes`.
    struct snapshot {
        time_point at;
        std::vector<int> running;
        std::vector<double> exposure;
        std::vector<double> started;
        int certain_parent{-1};
        double calls{1}; ///< Calls in quick succession share a snapshot.
    };
    struct fit {
        std::vector<double> rates; ///< Calls per millisecond in progress, by route.
        std::vector<double> calls_per_run;
    };

    struct rate_fit {
        std::vector<double> rates;
        std::vector<double> sums; ///< Calls attributed to each route.
        double log_likelihood{0};
    };

    std::size_t index_of(std::string const& route);
    std::size_t find_index(std::string const& route) const;
    snapshot take_snapshot(time_point now);
    void advance(run_statistics& entry, time_point now) const;
    static void refit(fit& result, std::deque<snapshot> const& events, snapshot const& now);
    static void maximise(rate_fit& fitted, std::deque<snapshot> const& events,
                         std::vector<double> const& exposure);
    static void drop_insignificant(rate_fit& fitted, std::deque<snapshot> const& events,
                                   std::vector<double> const& exposure);

    std::vector<std::string> names;
    std::vector<run_statistics> routes;
    std::unordered_map<std::string, std::size_t> indexes;
    std::map<std::string, std::deque<snapshot>> calls; ///< By callee, oldest first.
    std::deque<snapshot> starts_of_window;             ///< Periodic snapshots, for callees without calls.
    std::map<std::string, fit> fits;                   ///< By callee.
    time_point updated;
};

} // namespace caraway
