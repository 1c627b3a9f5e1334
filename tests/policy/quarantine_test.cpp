/// Requests that crash targets.

#include "policy/quarantine.hpp"

#include <doctest/doctest.h>

using namespace caraway;

TEST_CASE("a request is run alone after one death and refused after the second") {
    quarantine known;
    CHECK(known.judge(1, {0}) == quarantine_verdict::clear);
    known.note_death({1, 2}, {0});
    CHECK(known.judge(1, {1}) == quarantine_verdict::alone);
    known.note_survival(2);
    CHECK(known.judge(2, {1}) == quarantine_verdict::clear);
    known.note_death({1}, {2});
    CHECK(known.judge(1, {3}) == quarantine_verdict::refuse);
    known.note_survival(1);
    CHECK(known.judge(1, {4}) == quarantine_verdict::refuse);
    CHECK(known.judge(1, {100'000}) == quarantine_verdict::clear);
}

TEST_CASE("another node's word counts, and is news only once") {
    quarantine known;
    CHECK(known.learn(1, 2, {10}, {100}));
    CHECK_FALSE(known.learn(1, 2, {10}, {100}));
    CHECK(known.judge(1, {101}) == quarantine_verdict::refuse);
    CHECK_FALSE(known.learn(2, 2, {1e9}, {100}));
}
