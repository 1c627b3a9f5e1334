/// The limit is lowered only where a lower one keeps the throughput.

#include "policy/concurrency_limiter.hpp"

#include <doctest/doctest.h>

using namespace caraway;

namespace {

/// Saturates, for `span_ms`, a target that processes up to `knee` requests at full speed and slows all of
/// them down beyond that.
void saturate(concurrency_limiter& limiter, double base_ms, int knee, double span_ms, double& now) {
    double const end = now + span_ms;
    double credit = 0;
    while (now < end) {
        now += 1;
        int const in_flight = limiter.limit();
        double const congestion = std::max(1.0, static_cast<double>(in_flight) / knee);
        // Context switches reduce the throughput as well.
        double const service_ms = base_ms * congestion * (1 + 0.05 * (congestion - 1));
        credit += in_flight / service_ms;
        for (; credit >= 1; credit -= 1) {
            limiter.record_completion({service_ms}, in_flight, {now});
        }
    }
}

} // namespace

TEST_CASE("a target that is slow but not congested keeps its slots") {
    concurrency_limiter limiter(50);
    double now = 1;
    saturate(limiter, 10, 1000, 3000, now);
    saturate(limiter, 50, 1000, 10'000, now);
    CHECK(limiter.limit() >= 40);
}

TEST_CASE("a congested target gets a lower limit") {
    concurrency_limiter limiter(100);
    double now = 1;
    // Starts without congestion, so that the baseline is known.
    for (int count = 0; count < 100; ++count) {
        now += 5;
        limiter.record_completion({10}, 1, {now});
    }
    saturate(limiter, 10, 20, 10'000, now);
    CHECK(limiter.limit() <= 60);
}
