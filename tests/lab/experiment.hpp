/// Runs one scenario in one control mode and computes the four measures that the requirements name.
#pragma once

#include "lab/scenario.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace caraway::lab {

/// The four measures and the counts behind them. A request is whole if it gets a 200 within its timeout.
struct measures {
    double important_goodput{0};   ///< Whole important requests over those that the bottleneck can carry.
    double goodput{0};             ///< The same ratio for all requests.
    double recovery_seconds{0};    ///< From the end of the overload; negative if not reached.
    double worst_organisation{0};  ///< The lowest ratio of whole requests to fair share.
    double refused_inside_rate{0}; ///< Refused fraction for organisations that kept to their rate.
    std::size_t offered{0};
    std::size_t unanswered{0};
    std::vector<double> goodput_by_tick; ///< Whole requests per second in each 100 ms.
};

measures run_experiment(scenario const& wanted, std::string const& mode, std::uint64_t seed);

/// An SVG document with whole requests over time, one line per mode.
std::string draw_plot(scenario const& wanted, std::vector<std::pair<std::string, measures>> const& rows);

} // namespace caraway::lab
