/// Retries of a whole fleet stay a fraction of its first attempts (retry amplification).

#include "policy/service_retry_budget.hpp"
#include "support/property.hpp"

#include <random>
#include <vector>

using namespace caraway;

TEST_CASE("retries of all nodes together stay within a fifth of the first attempts and two for each node") {
    caraway::tests::check_property("fleet retries", [] {
        auto const nodes = *rc::gen::inRange<std::size_t>(1, 90);
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        std::vector<service_retry_budget> budgets(nodes);
        int first = 0;
        int retries = 0;
        for (int step = 0; step < 2000; ++step) {
            auto& budget = budgets[random() % nodes];
            if (random() % 3 == 0) {
                budget.record_first_attempt("service");
                ++first;
            }
            retries += budget.try_consume("service") ? 1 : 0;
        }
        RC_ASSERT(retries <= 0.2 * first + 2.0 * static_cast<double>(nodes));
        RC_ASSERT(retries <= 0.05 * first + 1);
    });
}

TEST_CASE("a service's retries are earned only by its own first attempts") {
    service_retry_budget budget;
    for (int index = 0; index < 1000; ++index) {
        budget.record_first_attempt("busy");
    }
    CHECK_FALSE(budget.try_consume("quiet"));
    CHECK(budget.try_consume("busy"));
}
