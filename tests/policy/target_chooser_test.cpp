/// The choice of the executing host.

#include "policy/target_chooser.hpp"

#include <doctest/doctest.h>

#include <map>
#include <random>

using namespace caraway;

namespace {

std::vector<candidate_host> two_domains() {
    return {{"near-1", true, 0, 10, {0}}, {"near-2", true, 0, 10, {0}}, {"far-1", false, 0, 10, {0}}};
}

std::map<std::string, int> choose_many(target_chooser& chooser, std::vector<candidate_host> const& hosts,
                                       double now) {
    std::mt19937_64 random(3);
    std::map<std::string, int> counts;
    for (int round = 0; round < 300; ++round) {
        if (auto const host = chooser.choose(hosts, true, random(), {now})) {
            ++counts[*host];
        }
    }
    return counts;
}

} // namespace

TEST_CASE("the own failure domain is preferred, and load spills over when it is full") {
    target_chooser chooser;
    auto hosts = two_domains();
    CHECK(choose_many(chooser, hosts, 10'000)["far-1"] == 0);
    hosts[0].reported_in_flight = 20;
    hosts[1].reported_in_flight = 20;
    CHECK(choose_many(chooser, hosts, 10'000)["far-1"] == 300);
}

TEST_CASE("a failing host is ejected, probed with one idempotent request, and used again") {
    target_chooser chooser;
    for (int count = 0; count < 3; ++count) {
        chooser.record_sent("near-1", {0});
        chooser.record_answer("near-1", {1}, true, false, {0});
    }
    CHECK(choose_many(chooser, two_domains(), 10)["near-1"] == 0);
    CHECK(chooser.is_ejected("near-1", {10}));
    std::vector<candidate_host> const only{{"near-1", true, 0, 10, {0}}};
    CHECK_FALSE(chooser.choose(only, false, 1, {1500}));
    REQUIRE(chooser.choose(only, true, 1, {1500}));
    chooser.record_sent("near-1", {1500});
    CHECK_FALSE(chooser.choose(only, true, 1, {1501}));
    chooser.record_answer("near-1", {1}, false, false, {1502});
    CHECK(chooser.choose(only, false, 1, {1503}));
}

TEST_CASE("a host that reports no load but has many requests of this node outstanding is not preferred") {
    target_chooser chooser;
    for (int count = 0; count < 9; ++count) {
        chooser.record_sent("near-1", {0});
    }
    chooser.record_sent("near-2", {0});
    auto const counts = choose_many(chooser, two_domains(), 10'000);
    CHECK(counts.at("near-2") == 300);
}

// A domain that is taken back: the penalty of its hosts used to last until they were used, which never
// happened while another host had little load.
TEST_CASE(
    "a host that is used again after a pause gets its share within seconds, whatever load the others have") {
    target_chooser chooser;
    for (std::string const host : {"near-1", "near-2"}) {
        chooser.record_sent(host, {0});
        chooser.record_answer(host, {1}, false, false, {1});
    }
    chooser.restart_use("near-1", {10'000});
    CHECK(choose_many(chooser, two_domains(), 10'100)["near-1"] == 0);
    auto counts = choose_many(chooser, two_domains(), 15'000);
    CHECK(counts["near-1"] > 100);
    CHECK(counts["near-2"] > 100);
}
