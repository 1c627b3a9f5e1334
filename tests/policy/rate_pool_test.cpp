/// The pool keeps level and loans within the capacity, and mints no faster than its rate.

#include "policy/rate_pool.hpp"
#include "support/property.hpp"

#include <vector>

using namespace caraway;

TEST_CASE("loans and level together never exceed the capacity") {
    caraway::tests::check_property("capacity", [] {
        rate_pool pool({0});
        pool.set_terms(100, 20, {0});
        double now = 0;
        loan_id next = 1;
        std::vector<std::pair<loan_id, token_amount>> loans;
        auto const steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(1, 400)));
        for (auto const& [kind, size] : steps) {
            now += size;
            if (kind == 0) {
                auto const id = next++;
                auto const amount = pool.lend(id, size * one_token / 10, {now}, {now + 1000});
                loans.emplace_back(id, amount);
            } else if (kind == 1 && !loans.empty()) {
                auto const& [id, amount] = loans[static_cast<std::size_t>(size) % loans.size()];
                pool.settle({id, amount / 2, amount - amount / 2}, {now});
            }
            RC_ASSERT(pool.level({now}) >= 0);
            RC_ASSERT(pool.outstanding() >= 0);
            RC_ASSERT(pool.level({now}) + pool.outstanding() <= 20 * one_token);
        }
    });
}

TEST_CASE("room that an expired loan leaves is filled only by what is minted after it") {
    rate_pool pool({0});
    pool.set_terms(10, 10, {0});
    REQUIRE(pool.lend(1, 10 * one_token, {1000}, {3000}) == 10 * one_token);
    // All ten are spent at 2900; until 3000 nothing may be minted, so 100 ms later there is one.
    CHECK(pool.level({3100}) <= one_token);
}

TEST_CASE("a doubled report settles once") {
    rate_pool pool({0});
    pool.set_terms(1, 10, {0});
    REQUIRE(pool.lend(1, 4 * one_token, {10'000}, {11'000}) == 4 * one_token);
    pool.settle({1, one_token, one_token}, {10'000});
    pool.settle({1, one_token, one_token}, {10'000});
    CHECK(pool.outstanding() == 2 * one_token);
}
