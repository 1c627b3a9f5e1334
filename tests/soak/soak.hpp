/// A fault soak: real processes on loopback, faults from outside in series and overlapping, and callers that
/// go on all the while. What they were told is checked against what the targets ran.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace caraway::soak {

struct soak_plan {
    std::uint64_t seed{1};
    double fault_seconds{8};   ///< How long faults come.
    int callers{6};            ///< Threads that send one request after another.
    int overlapping_faults{2}; ///< The most faults at once.
};

struct soak_report {
    std::vector<std::string> broken; ///< One line for each promise that did not hold; empty when all did.
    std::vector<std::string> faults; ///< What was done, with times, in order.
    int asked{0};
    int served{0};
    int refused{0};
    int unanswered{0}; ///< At nodes that were stopped, killed or paused meanwhile.
};

/// Runs one soak from its seed. The faults and their times depend on the seed only; the interleaving with
/// requests does not.
soak_report run_soak(soak_plan const& plan);

} // namespace caraway::soak
