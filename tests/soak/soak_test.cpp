/// The short soak test that runs in CI with two fixed seeds.

#include "soak/soak.hpp"

#include <doctest/doctest.h>

using namespace caraway::soak;

namespace {

void check_seed(std::uint64_t seed) {
    auto const report = run_soak({.seed = seed, .fault_seconds = 6});
    for (auto const& line : report.violations) {
        FAIL_CHECK("seed " << seed << ": " << line);
    }
    for (auto const& fault : report.faults) {
        if (!report.violations.empty()) {
            MESSAGE(fault);
        }
    }
    CHECK(report.sent > 100);
    CHECK(report.served > 0);
}

} // namespace

TEST_CASE("soak: sequential and overlapping faults violate no guarantee") {
    check_seed(1);
    check_seed(2);
}
