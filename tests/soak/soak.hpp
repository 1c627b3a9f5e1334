/// A soak test with fault injection: real processes on loopback get sequential and overlapping faults while
/// callers keep sending. The answers that callers received are compared with the requests that the targets
/// ran.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace caraway::soak {

struct soak_plan {
    std::uint64_t seed{1};
    double fault_seconds{8};   ///< How long faults are injected.
    int callers{6};            ///< Threads that send one request after another.
    int overlapping_faults{2}; ///< The maximum number of faults at once.
};

struct soak_report {
    std::vector<std::string> violations; ///< The guarantees that did not hold; empty on success.
    std::vector<std::string> faults;     ///< The injected faults with their times, in order.
    int sent{0};
    int served{0};
    int refused{0};
    int unanswered{0}; ///< Includes requests to nodes that were stopped, killed or paused meanwhile.
};

/// The faults and their times depend only on the seed; how they interleave with the requests differs from run
/// to run.
soak_report run_soak(soak_plan const& plan);

} // namespace caraway::soak
