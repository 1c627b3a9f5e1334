#include "policy/owed_calls.hpp"

#include <doctest/doctest.h>

using namespace caraway;

TEST_CASE("a call tells of the calls of all runs that began, once") {
    owed_calls owed;
    owed.add("leaf", {"first", 1, 8});
    owed.add("leaf", {"first", 1, 4});
    owed.add("leaf", {"second", 0, 2});
    owed.add("side", {"second", 0, 1});
    auto const largest = owed.take("leaf");
    CHECK(largest.organisation == "first");
    CHECK(largest.count == 12);
    CHECK(owed.take("leaf").priority == 0);
    CHECK(owed.take("leaf").count == 0);
    CHECK(owed.take("side").count == 1);
}
