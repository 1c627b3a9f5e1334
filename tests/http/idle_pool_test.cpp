/// Which idle connection the next request uses, and how many are opened over a wave of demand.

#include "http/idle_pool.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <queue>
#include <vector>

using namespace caraway;

namespace {

constexpr duration limit{10'000};

/// Plays demand that swings between a few and many requests at a time, and returns how many connections are
/// opened after the first wave, beyond what the highest wave needs at once.
int opened_after_first_wave(duration period, duration length) {
    idle_pool<int> pool;
    std::priority_queue<double, std::vector<double>, std::greater<>> ends;
    int opened = 0;
    for (double now = 0; now < length.milliseconds; now += 1) {
        while (!ends.empty() && ends.top() <= now) {
            ends.pop();
            pool.put(std::make_unique<int>(0), limit, {now});
        }
        double const wave = 1 + 0.8 * std::sin(now / period.milliseconds * 6.283);
        auto const wanted = static_cast<std::size_t>(20 * wave);
        while (ends.size() < wanted) {
            if (pool.take(true, {now}) == nullptr) {
                opened += now > period.milliseconds ? 1 : 0;
            }
            ends.push(now + 90);
        }
    }
    return opened;
}

std::unique_ptr<int> numbered(int number) {
    return std::make_unique<int>(number);
}

} // namespace

TEST_CASE("a wave of demand opens no connection that an earlier wave had opened") {
    CHECK(opened_after_first_wave(duration{17'000}, duration{60'000}) == 0);
}

TEST_CASE("the newest connection is used first, unless another has been idle for a part of its limit") {
    idle_pool<int> pool;
    pool.put(numbered(1), limit, {0});
    pool.put(numbered(2), limit, {2500});
    CHECK(*pool.take(true, {2600}) == 2);
    pool.put(numbered(2), limit, {2700});
    CHECK(*pool.take(true, {3100}) == 1);
}

TEST_CASE("a non-idempotent request uses no connection that is far into its idle limit") {
    idle_pool<int> pool;
    pool.put(numbered(1), limit, {0});
    CHECK(pool.take(false, {5100}) == nullptr);
    CHECK(*pool.take(true, {5100}) == 1);
    pool.put(numbered(1), limit, {5200});
    CHECK(pool.take(true, {13'300}) == nullptr);
    CHECK(pool.empty());
}

TEST_CASE("after a target has dropped an idle connection early, the newest ones are used") {
    idle_pool<int> pool;
    pool.put(numbered(1), limit, {0});
    pool.put(numbered(2), limit, {3900});
    pool.note_early_close({3900});
    CHECK(*pool.take(true, {4000}) == 2);
}
