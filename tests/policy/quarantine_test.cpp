/// Requests that crash targets.

#include "policy/quarantine.hpp"

#include <doctest/doctest.h>

using namespace caraway;

TEST_CASE("a request is isolated after one crash and refused after the second") {
    quarantine suspects;
    CHECK(suspects.verdict_for(1, {0}) == quarantine_verdict::clear);
    suspects.record_crash({1, 2}, {0});
    CHECK(suspects.verdict_for(1, {1}) == quarantine_verdict::isolate);
    suspects.clear_suspicion(2);
    CHECK(suspects.verdict_for(2, {1}) == quarantine_verdict::clear);
    suspects.record_crash({1}, {2});
    CHECK(suspects.verdict_for(1, {3}) == quarantine_verdict::refuse);
    suspects.clear_suspicion(1);
    CHECK(suspects.verdict_for(1, {4}) == quarantine_verdict::refuse);
    CHECK(suspects.verdict_for(1, {100'000}) == quarantine_verdict::clear);
}

TEST_CASE("a report of another node is merged, and changes the state only once") {
    quarantine suspects;
    CHECK(suspects.merge(1, 2, {10}, {100}));
    CHECK_FALSE(suspects.merge(1, 2, {10}, {100}));
    CHECK(suspects.verdict_for(1, {101}) == quarantine_verdict::refuse);
    CHECK_FALSE(suspects.merge(2, 2, {1e9}, {100}));
}
