/// Runs one scenario under one way of control and reduces the results to the four measures of the brief.
#pragma once

#include "lab/scenario.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace caraway::lab {

/// The four measures, and what they were drawn from.
struct measures {
    double important_goodput{0};   ///< Important requests whole, of what the bottleneck can carry of them.
    double goodput{0};             ///< All requests whole, of the same.
    double recovery_seconds{0};    ///< From the end of the trigger; negative when it never came.
    double worst_organisation{0};  ///< Least whole over fair share.
    double refused_inside_rate{0}; ///< Of the requests of organisations that kept to their rate.
    std::size_t offered{0};
    std::size_t unanswered{0};
    std::vector<double> goodput_by_tick; ///< Whole requests per second, by tenth of a second.
};

measures run_experiment(scenario const& wanted, std::string const& mode, std::uint64_t seed);

/// Whole requests over time, one line for each mode, as an SVG document.
std::string draw_plot(scenario const& wanted, std::vector<std::pair<std::string, measures>> const& rows);

} // namespace caraway::lab
