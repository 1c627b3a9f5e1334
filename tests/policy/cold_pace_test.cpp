/// The pace of requests to a cold target, and what the host beside it knows of that.
#include "policy/cold_pace.hpp"

#include "policy/cold_state.hpp"
#include "policy/target_pace.hpp"
#include "policy/target_state_table.hpp"
#include "support/property.hpp"

#include <algorithm>
#include <vector>

using namespace caraway;

namespace {

constexpr double bound_span_ms = 1000;

cold_tolerance any_tolerance() {
    return {.factor = *rc::gen::inRange(0, 30) / 10.0, .slack = *rc::gen::inRange(-10, 400) / 10.0};
}

/// The most requests in any second that begins with one of them at or after `from`.
double most_in_a_second(std::vector<double> const& sent, double from) {
    std::size_t most = 0;
    for (auto first = std::ranges::lower_bound(sent, from); first != sent.end(); ++first) {
        auto const end = std::ranges::upper_bound(sent, *first + bound_span_ms);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return static_cast<double>(most);
}

/// Sends as fast as the pace allows, but at most `limit` requests at one instant.
void send_all(cold_pace& pacer, std::vector<double>& sent, time_point now, int limit) {
    for (int count = 0; count < limit && pacer.may_send(now); ++count) {
        pacer.record_sent(now);
        sent.push_back(now.milliseconds);
    }
}

} // namespace

// A target that got 28 requests in one second after its start, where 26 were allowed.
TEST_CASE("a cold target gets no more than its bound in any second, whatever was sent before") {
    tests::check_property("cold pace", [] {
        double const rate = *rc::gen::inRange(1, 1'000'000) / 1000.0;
        auto const tolerance = any_tolerance();
        double const bound = rate * std::max(1.0, tolerance.factor) + std::max(0.0, tolerance.slack);
        auto const gaps = *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 700));
        int const warm_burst = *rc::gen::inRange(0, 4);
        time_point now{1000};
        cold_pace pacer(now);
        pacer.configure(rate, tolerance, now);
        std::vector<double> sent;
        for (int const gap : gaps) { // Warm.
            now = now + duration{gap / 10.0};
            send_all(pacer, sent, now, warm_burst);
        }
        double const before = most_in_a_second(sent, now.milliseconds - bound_span_ms);
        double const begin = now.milliseconds;
        pacer.begin(now);
        for (int const gap : gaps) {
            now = now + duration{static_cast<double>(gap)};
            pacer.begin(now); // Told again, which changes nothing.
            send_all(pacer, sent, now, 10'000);
        }
        RC_ASSERT(most_in_a_second(sent, begin) <= bound);
        RC_ASSERT(most_in_a_second(sent, begin - bound_span_ms) <= std::max(bound, before));
    });
}

TEST_CASE("a restart of the sending process does not raise what a cold target gets in a second") {
    tests::check_property("cold pace over restarts", [] {
        double const rate = *rc::gen::inRange(1, 1'000'000) / 1000.0;
        auto const tolerance = any_tolerance();
        double const bound = rate * std::max(1.0, tolerance.factor) + std::max(0.0, tolerance.slack);
        auto const spans = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(1, 1500));
        time_point now{1000};
        std::vector<double> sent;
        for (int const span : spans) {
            cold_pace pacer(now);
            pacer.configure(rate, tolerance, now);
            pacer.begin(now);
            for (int step = 0; step < span; step += 3, now = now + duration{3}) {
                send_all(pacer, sent, now, 10'000);
            }
        }
        RC_ASSERT(most_in_a_second(sent, 0) <= bound);
    });
}

TEST_CASE("two seconds after a target is warm its pace binds no more, and at once if it was never cold") {
    for (double const rate : {0.5, 1.0, 12.0, 1000.0}) {
        CAPTURE(rate);
        time_point now{1000};
        cold_pace pacer(now);
        pacer.configure(rate, {}, now);
        pacer.begin(now);
        pacer.withdraw();
        CHECK_FALSE(pacer.is_pacing(now));
        pacer.begin(now);
        pacer.end(now);
        CHECK(pacer.is_pacing(now));
        CHECK_FALSE(pacer.is_pacing(now + duration{2000}));
        CHECK(pacer.time_until_token(1000, now + duration{2000}) == duration{0});
    }
}

// Deployments without cold targets must not notice any of this.
TEST_CASE("without a cold rate nothing is paced") {
    for (double const rate : {0.0, -3.0}) {
        cold_pace pacer({1000});
        pacer.configure(rate, {.factor = 1.5, .slack = 8}, {1000});
        pacer.begin({1000});
        CHECK_FALSE(pacer.is_pacing({1000}));
        CHECK(pacer.may_send({1000}));
    }
}

TEST_CASE("the slowest of several reasons decides the pace of a target, and is named") {
    time_point const now{1000};
    target_pace pacer(now);
    CHECK(pacer.binding_reason(now) == pace_reason::none);
    pacer.cold.configure(12, {.factor = 1.5, .slack = 8}, now);
    pacer.cold.begin(now);
    CHECK(pacer.binding_reason(now) == pace_reason::cold);
    pacer.limit.set_limit(4, now);
    CHECK(pacer.binding_reason(now) == pace_reason::stated_limit);
    CHECK(pacer.pace(now) == 4);
    CHECK_FALSE(pacer.may_send(now));
    CHECK(pacer.time_until_token(0, now).milliseconds == doctest::Approx(250));
    pacer.limit.set_limit(400, now);
    CHECK(pacer.binding_reason(now) == pace_reason::cold);
    CHECK(pacer.pace(now) == doctest::Approx(16.2));
}

TEST_CASE("of what is known of a cold target later news wins, and of news at the same time the longer") {
    constexpr duration span{3000};
    cold_state state;
    state.configure(span);
    CHECK_FALSE(state.is_cold({1000}));
    state.on_new_incarnation(duration{0}, {1000});
    CHECK(state.remaining({1000}) == span);
    state.on_stated(duration{500}, {1000}, {1010});
    CHECK(state.remaining({1010}) == duration{500});
    // A list that was written before this answer may arrive after it, with another reader's time.
    state.on_listed_again(duration{2900}, {1100});
    CHECK(state.remaining({1100}) == duration{2900});
    CHECK(state.wants_check({1100}));
    state.on_listed_again(duration{2900}, {1900});
    CHECK(state.remaining({1900}) == duration{2100});
    // An answer to what was asked before the list came may be older than what the list says.
    state.on_stated(duration{0}, {1050}, {1900});
    CHECK(state.remaining({1900}) == duration{2100});
    state.on_stated(duration{0}, {1950}, {1960});
    CHECK_FALSE(state.is_cold({1960}));
    CHECK(state.is_refuted());
    state.on_listed_again(duration{0}, {2000});
    CHECK_FALSE(state.is_cold({2000}));
    state.on_listed_again(duration{2000}, {3000});
    CHECK(state.remaining({3000}) == duration{2000});
}

TEST_CASE("a target that can't be reached is cold until its cold time has passed after its next answer") {
    cold_state state;
    state.configure(duration{3000});
    state.note_lost({1000});
    CHECK(state.is_cold({60'000}));
    state.note_answer({60'000});
    CHECK(state.remaining({61'000}) == duration{2000});
    CHECK_FALSE(state.is_cold({63'000}));
}

TEST_CASE("a target is asked at most twice a second whether it is cold, and never when it has said so") {
    cold_state state;
    state.configure(duration{3000});
    CHECK_FALSE(state.wants_check({1000}));
    state.assume({1000});
    CHECK(state.wants_check({1000}));
    state.on_check_sent({1000});
    CHECK_FALSE(state.wants_check({1400}));
    state.on_check_ended();
    CHECK_FALSE(state.wants_check({1400}));
    CHECK(state.wants_check({1500}));
    state.on_check_sent({1500});
    state.on_stated(duration{1000}, {1500}, {1510});
    state.on_check_ended();
    CHECK_FALSE(state.wants_check({2300}));
}

TEST_CASE("other hosts take a cold target as limited to its cold rate while it is cold") {
    target_state_table targets;
    auto const target = make_target_id("10.0.0.1", "i-1", 0);
    targets.configure_cold_rates({{target, 10.0}});
    CHECK_FALSE(targets.accepted_rate(target, {1000}));
    targets.record_cold(target, {3000}, 0, {1000});
    CHECK(targets.accepted_rate(target, {1000}) == 10.0);
    CHECK(targets.cold_for(target, {2000}) == duration{1000});
    targets.record_sent(target, {1000});
    CHECK_FALSE(targets.has_room(target, {1000}));
    CHECK(targets.restricted_targets({1000}).size() == 1);
    targets.record_report(target,
                          {.rate_limit = 4, .sender_count = 2, .cold_until = {3000}, .updated = {1500}});
    CHECK(targets.accepted_rate(target, {1500}) == 4.0);
    CHECK_FALSE(targets.accepted_rate(make_target_id("10.0.0.2", "i-1", 0), {1500}));
    targets.record_report(target, {.updated = {3000}});
    CHECK(targets.has_room(target, {3000}));
}
