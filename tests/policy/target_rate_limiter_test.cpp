/// The pace of requests to a target that states a limit, and what other nodes know of it.
#include "policy/target_rate_limiter.hpp"

#include "policy/target_state_table.hpp"
#include "support/property.hpp"

#include <vector>

using namespace caraway;

namespace {

/// Requests that are sent within the span when one is always waiting.
int sent_within(target_rate_limiter& limiter, time_point& now, duration span) {
    int sent = 0;
    for (auto const end = now + span; now < end; now = now + duration{1}) {
        while (sent < 100'000 && limiter.may_send(now)) {
            limiter.record_sent(now);
            ++sent;
        }
    }
    return sent;
}

} // namespace

TEST_CASE("in any window of four seconds no more is sent than one and a half times the limit, and five") {
    tests::check_property("target pace", [] {
        double const limit = *rc::gen::inRange(0, 400'000) / 1000.0;
        auto const gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3000));
        target_rate_limiter limiter;
        time_point now{1000};
        limiter.set_limit(limit, now);
        std::vector<double> sent;
        for (int const gap : gaps) {
            now = now + duration{static_cast<double>(gap)};
            limiter.set_limit(limit, now); // Each answer states the limit again.
            while (limiter.may_send(now)) {
                limiter.record_sent(now);
                sent.push_back(now.milliseconds);
            }
        }
        for (auto const& first : sent) {
            auto const in_window = std::count_if(
                sent.begin(), sent.end(), [first](double at) { return at >= first && at <= first + 4000; });
            RC_ASSERT(static_cast<double>(in_window) <= limit * 1.5 * 4 + 5);
        }
    });
}

TEST_CASE("a limit that changes with each answer is followed without saving tokens") {
    target_rate_limiter limiter;
    time_point now{1000};
    limiter.set_limit(1e300, now);
    now = now + duration{1000};
    limiter.set_limit(4, now);
    CHECK(sent_within(limiter, now, duration{1000}) <= 5);
    limiter.set_limit(40, now);
    int const faster = sent_within(limiter, now, duration{1000});
    CHECK(faster >= 35);
    CHECK(faster <= 50);
}

TEST_CASE("after the end of a limit the pace grows step by step, and then nothing bounds it") {
    target_rate_limiter limiter;
    time_point now{1000};
    limiter.set_limit(10, now);
    limiter.release(now);
    int const first = sent_within(limiter, now, duration{500});
    CHECK(first <= 12);
    CHECK(sent_within(limiter, now, duration{500}) > first);
    now = now + duration{3000};
    CHECK_FALSE(limiter.is_pacing(now));
    CHECK(limiter.time_until_token(1000, now) == duration{0});
}

TEST_CASE("the time until a token counts those who are ahead") {
    target_rate_limiter limiter;
    limiter.set_limit(10, {1000});
    CHECK(limiter.time_until_token(0, {1000}).milliseconds == doctest::Approx(100));
    CHECK(limiter.time_until_token(4, {1000}).milliseconds == doctest::Approx(500));
}

TEST_CASE("each sender uses its part of a limit, and news from other nodes does not replace newer reports") {
    target_state_table targets;
    auto const target = make_target_id("10.0.0.1", "i-1", 0);
    CHECK(targets.has_room(target, {1000}));
    targets.record_report(target, {.rate_limit = 10, .sender_count = 10, .updated = {1000}});
    CHECK(targets.has_room(target, {1000}));
    targets.record_sent(target, {1000});
    CHECK_FALSE(targets.has_room(target, {1200}));
    CHECK(targets.has_room(target, {2000}));
    targets.record_report(target, {.updated = {2100}});
    targets.merge(target, {.rate_limit = 1, .updated = {2000}}, {2200});
    CHECK_FALSE(targets.rate_limit(target));
    targets.merge(target, {.rate_limit = 1, .updated = {2150}}, {2200});
    CHECK(targets.rate_limit(target) == 1.0);
    CHECK_FALSE(targets.rate_limit(make_target_id("10.0.0.1", "i-1", 5)));
}
