/// The short soak of CI: seeds that failed once, and two more, each with one verdict.

#include "soak/soak.hpp"

#include <doctest/doctest.h>

using namespace caraway::soak;

namespace {

void check_seed(std::uint64_t seed) {
    auto const report = run_soak({.seed = seed, .fault_seconds = 6});
    for (auto const& line : report.broken) {
        FAIL_CHECK("seed " << seed << ": " << line);
    }
    for (auto const& fault : report.faults) {
        if (!report.broken.empty()) {
            MESSAGE(fault);
        }
    }
    CHECK(report.asked > 100);
    CHECK(report.served > 0);
}

} // namespace

TEST_CASE("soak: faults in series and overlapping break no promise") {
    check_seed(1);
    check_seed(2);
}
