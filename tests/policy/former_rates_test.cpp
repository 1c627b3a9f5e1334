/// A lowered limit takes effect when the configuration must have reached every host, a raised one at once.

#include "policy/former_rates.hpp"

#include <doctest/doctest.h>

using namespace caraway;

TEST_CASE("a lowered limit is used after the span, a raised one at once") {
    former_rates rates(duration{2000});
    rates.update({{"a", {40, 40}}, {"b", {10, 10}}}, {0});
    rates.update({{"a", {20, 20}}, {"b", {30, 30}}}, {1000});
    CHECK(rates.limit("a", {2900}).rate == 40);
    CHECK(rates.limit("b", {1000}).rate == 30);
    CHECK_FALSE(rates.remove_expired({2900}));
    CHECK(rates.limit("a", {3000}).rate == 20);
    CHECK(rates.limit("a", {3000}).burst == 20);
    CHECK(rates.remove_expired({3000}));
}

TEST_CASE("neither a new host list nor a second change prolongs the use of a former limit") {
    former_rates rates(duration{2000});
    rates.update({{"a", {40, 40}}}, {0});
    rates.update({{"a", {20, 20}}}, {1000});
    rates.update({{"a", {20, 20}}}, {2500});
    rates.update({{"a", {10, 10}}}, {2900});
    CHECK(rates.limit("a", {2999}).rate == 40);
    CHECK(rates.limit("a", {3000}).rate == 10);
}

TEST_CASE(
    "an organisation that had no limit is limited at once, and one without a limit leaves nothing behind") {
    former_rates rates(duration{2000});
    rates.update({}, {0});
    rates.update({{"a", {20, 20}}}, {1000});
    CHECK(rates.limit("a", {1000}).rate == 20);
    rates.update({}, {1500});
    rates.update({{"a", {10, 10}}}, {1600});
    CHECK(rates.limit("a", {1600}).rate == 10);
}
