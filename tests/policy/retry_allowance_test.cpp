/// Retries over a whole call tree never exceed the allowance of its root request.

#include "policy/retry_allowance.hpp"
#include "support/property.hpp"

#include <cstdint>
#include <random>

using namespace caraway;

namespace {

/// Calls `fan_out` services at each depth; each attempt fails with the given probability. The calls of one
/// parent are concurrent: each reserves its part before any of them returns the rest.
struct call_tree {
    std::mt19937_64 random;
    int fan_out;
    double failure;
    double lost_answer;
    int retries{0};

    bool chance(double probability) {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
    }

    void visit(retry_allowance& own, int depth) {
        if (depth == 0) {
            return;
        }
        std::vector<int> reserved;
        for (int child = 0; child < this->fan_out; ++child) {
            reserved.push_back(own.reserve_for_call());
        }
        for (int child = 0; child < this->fan_out; ++child) {
            this->attempt(own, reserved[static_cast<std::size_t>(child)], depth);
        }
    }

    void attempt(retry_allowance& own, int reserved, int depth) {
        for (;;) {
            retry_allowance below(reserved);
            this->visit(below, depth - 1);
            if (!this->chance(this->lost_answer)) {
                own.return_unused(below.remaining(), reserved);
            }
            if (!this->chance(this->failure) || !own.try_consume()) {
                return;
            }
            ++this->retries;
            reserved = own.reserve_for_call();
        }
    }
};

} // namespace

TEST_CASE("retries over the whole tree stay within the allowance") {
    caraway::tests::check_property("allowance", [] {
        int const allowance = *rc::gen::inRange(0, 6);
        call_tree tree{std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()), *rc::gen::inRange(1, 4),
                       *rc::gen::inRange(0, 100) / 100.0, *rc::gen::inRange(0, 50) / 100.0};
        retry_allowance root(allowance);
        tree.attempt(root, root.reserve_for_call(), *rc::gen::inRange(1, 7));
        RC_ASSERT(tree.retries <= allowance);
    });
}

TEST_CASE("a call can't return more than was reserved for it") {
    retry_allowance own(4);
    int const reserved = own.reserve_for_call();
    own.return_unused(100, reserved);
    CHECK(own.remaining() == 4);
}

TEST_CASE("an organisation's retries are limited to a tenth of its first attempts") {
    organisation_retry_budget budget;
    int granted = 0;
    for (int round = 0; round < 1000; ++round) {
        budget.record_first_attempt("org");
        granted += budget.try_consume("org") ? 1 : 0;
    }
    CHECK(granted <= 110);
    CHECK(granted >= 100);
}
