/// A pool keeps available tokens and leases within its capacity, and refills no faster than its rate.

#include "policy/rate_pool.hpp"
#include "support/property.hpp"

#include <vector>

using namespace caraway;

TEST_CASE("leases and available tokens together never exceed the capacity") {
    caraway::tests::check_property("capacity", [] {
        rate_pool pool({0});
        pool.set_limit(100, 20, {0});
        double now = 0;
        lease_id next = 1;
        std::vector<std::pair<lease_id, token_amount>> leases;
        auto const steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(1, 400)));
        for (auto const& [kind, size] : steps) {
            now += size;
            if (kind == 0) {
                auto const id = next++;
                auto const amount = pool.grant(id, size * one_token / 10, {now}, {now + 1000});
                leases.emplace_back(id, amount);
            } else if (kind == 1 && !leases.empty()) {
                auto const& [id, amount] = leases[static_cast<std::size_t>(size) % leases.size()];
                pool.record_usage({id, amount / 2, amount - amount / 2}, {now});
            }
            RC_ASSERT(pool.available({now}) >= 0);
            RC_ASSERT(pool.outstanding() >= 0);
            RC_ASSERT(pool.available({now}) + pool.outstanding() <= 20 * one_token);
        }
    });
}

TEST_CASE("capacity freed by an expired lease is only refilled after the expiry") {
    rate_pool pool({0});
    pool.set_limit(10, 10, {0});
    REQUIRE(pool.grant(1, 10 * one_token, {1000}, {3000}) == 10 * one_token);
    // The lease may be consumed at 2900; until its expiry at 3000 the pool must not refill, so there is one
    // token 100 ms later.
    CHECK(pool.available({3100}) <= one_token);
}

TEST_CASE("a duplicated usage report is only counted once") {
    rate_pool pool({0});
    pool.set_limit(1, 10, {0});
    REQUIRE(pool.grant(1, 4 * one_token, {10'000}, {11'000}) == 4 * one_token);
    pool.record_usage({1, one_token, one_token}, {10'000});
    pool.record_usage({1, one_token, one_token}, {10'000});
    CHECK(pool.outstanding() == 2 * one_token);
}
