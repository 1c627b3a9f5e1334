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
