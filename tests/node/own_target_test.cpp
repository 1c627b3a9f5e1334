/// What a node keeps of its own target's statements across host lists and incarnations.
#include "node/own_target.hpp"

#include <doctest/doctest.h>

using namespace caraway;

namespace {

constexpr time_point start{1000};

settings own_settings() {
    settings options;
    options.host = "10.0.0.1";
    return options;
}

} // namespace

// The links of a host that has restarted may open before it has read a host list, which names its target.
TEST_CASE("what peers know of the own target holds when the host list arrives after their news") {
    node_context context(own_settings(), 1, lease_timing{}, start);
    own_target target(context, start);
    auto const id = make_target_id("10.0.0.1", "i-1", 0);
    context.targets.merge(id, {.rate_limit = 4, .updated = start}, start);
    target.on_listed(id, duration{0}, start);
    CHECK(target.rate_limit() == 4.0);
    CHECK_FALSE(target.may_send(start));
}

// The entry of a target expires while the registry is away, and is back after it.
TEST_CASE("a target that is listed again under the same incarnation keeps its limit") {
    node_context context(own_settings(), 1, lease_timing{}, start);
    own_target target(context, start);
    auto const id = make_target_id("10.0.0.1", "i-1", 0);
    target.on_listed(id, duration{0}, start);
    target.on_statement({.rate_limit = 4}, "", start, start);
    target.on_listed(0, duration{0}, start + duration{100});
    target.on_listed(id, duration{0}, start + duration{200});
    CHECK(target.rate_limit() == 4.0);
    target.on_listed(make_target_id("10.0.0.1", "i-2", 0), duration{0}, start + duration{300});
    CHECK_FALSE(target.rate_limit());
}

namespace {

/// A host beside a target with 64 slots that learns its pace.
struct learning_host {
    explicit learning_host(warm_up_rule rule = warm_up_rule::learned)
        : context(with_warm_up(rule), 1, lease_timing{}, start), target(context, start) {
        this->target.set_slots(slots);
    }

    static settings with_warm_up(warm_up_rule rule) {
        auto options = own_settings();
        options.target_warm_up = rule;
        return options;
    }

    void answer(int count, bool has_failed = false) {
        for (int index = 0; index < count; ++index) {
            this->now = this->now + duration{5};
            this->target.record_sent(false, this->now);
            this->target.on_request_ended({.id = 1, .result = outcome::ran}, this->now + duration{5});
            this->target.record_answer({.sent = this->now, .own_time = {5}, .held_time = {5}}, has_failed,
                                       this->now + duration{5});
        }
    }

    static constexpr int slots = 64;
    time_point now = start;
    node_context context;
    own_target target;
};

constexpr target_id first_incarnation = 11;
constexpr target_id second_incarnation = 12;

} // namespace

TEST_CASE("the pace of a target is learnt anew for each incarnation and when it answers again") {
    learning_host host;
    host.target.on_listed(first_incarnation, duration{0}, host.now);
    CHECK(host.target.learned().window() == 8);
    host.answer(80);
    CHECK(host.target.learned().window() == 64);
    host.target.on_listed(first_incarnation, duration{0}, host.now);
    CHECK(host.target.learned().window() == 64);
    host.target.on_request_ended({.id = 1, .code = result_code::target_unreachable}, host.now);
    CHECK(host.target.learned().window() == 8);
    CHECK(host.target.binding_reason(host.now) == pace_reason::learned);
    host.answer(80);
    host.target.on_listed(second_incarnation, duration{0}, host.now);
    CHECK(host.target.learned().window() == 8);
    host.answer(80);
    host.target.begin_warm_up("domain_taken_back", host.now);
    CHECK(host.target.learned().window() == 8);
}

// Targets whose calls fail or wait because all of the service below is down answer again all at once.
TEST_CASE("a target that failed or waited for a service below is not taken as one that has recovered") {
    learning_host host;
    host.target.on_listed(first_incarnation, duration{0}, host.now);
    host.answer(80);
    host.answer(20, true);
    for (int count = 0; count < 4; ++count) {
        host.target.record_sent(false, host.now);
    }
    auto const later = host.now + duration{3000};
    host.target.record_answer({.sent = host.now, .own_time = {10}, .held_time = {3000}}, false, later);
    CHECK_FALSE(host.target.learned().is_learning());
}

TEST_CASE("a target that stood still for seconds with requests at hand begins small") {
    learning_host host;
    host.target.on_listed(first_incarnation, duration{0}, host.now);
    host.answer(80);
    for (int count = 0; count < 4; ++count) {
        host.target.record_sent(false, host.now);
    }
    auto const woken = host.now + duration{3000};
    host.target.record_answer({.sent = host.now, .own_time = {3000}, .held_time = {3000}}, false, woken);
    CHECK(host.target.learned().is_learning());
}

// The host was killed, and its target went on.
TEST_CASE("a host that restarts beside a target that has run for long does not hold it back") {
    learning_host host;
    host.target.on_listed(first_incarnation, duration{0}, host.now, duration{60'000});
    CHECK(host.target.learned().window() == 64);
    learning_host beside_new;
    beside_new.target.on_listed(first_incarnation, duration{0}, beside_new.now, duration{800});
    CHECK(beside_new.target.learned().window() == 8);
}

TEST_CASE("a fixed warm-up leaves the host beside the target without a window") {
    learning_host host(warm_up_rule::fixed);
    host.target.on_listed(first_incarnation, duration{0}, host.now);
    host.target.on_request_ended({.id = 1, .code = result_code::target_unreachable}, host.now);
    CHECK(host.target.learned().window() == 64);
    CHECK(host.target.binding_reason(host.now) == pace_reason::none);
}
