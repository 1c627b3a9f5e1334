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

TEST_CASE("when all hosts of an overloaded service are ejected, idempotent requests still go to them") {
    target_chooser chooser;
    for (auto const& host : two_domains()) {
        for (int count = 0; count < 3; ++count) {
            chooser.record_sent(host.host, {0});
            chooser.record_answer(host.host, {1}, true, false, {0});
        }
        CHECK(chooser.is_ejected(host.host, {10}));
    }
    auto counts = choose_many(chooser, two_domains(), 10);
    CHECK(counts["near-1"] + counts["near-2"] + counts["far-1"] == 300);
    CHECK_FALSE(chooser.choose(two_domains(), false, 1, {10}));
    // One that answers again is used alone.
    chooser.record_sent("far-1", {1500});
    chooser.record_answer("far-1", {1}, false, false, {1501});
    chooser.record_sent("near-1", {1500});
    chooser.record_sent("near-2", {1500});
    CHECK(choose_many(chooser, two_domains(), 1502)["far-1"] == 300);
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

// All entry nodes hear of a new host at the same moment, and hear nothing more until it answers.
TEST_CASE("84 entry nodes that know a joiner by an old report send it one request each, and soon") {
    constexpr int nodes = 84;
    std::vector<candidate_host> hosts;
    for (int index = 0; index < 10; ++index) {
        hosts.push_back({.host = "old-" + std::to_string(index), .reported_in_flight = 30, .limit = 60});
    }
    std::mt19937_64 random(3);
    std::vector<target_chooser> choosers(nodes);
    for (auto& chooser : choosers) {
        chooser.set_warm_up({.has_fixed_span = false, .awaits_first_answer = true});
        for (auto const& known : hosts) {
            chooser.record_sent(known.host, {0});
            chooser.record_answer(known.host, {100}, false, false, {100});
        }
    }
    hosts.push_back({.host = "joiner", .reported_in_flight = 0, .limit = 8});
    for (double now = 1000; now < 1400; now += 100) {
        for (auto& chooser : choosers) {
            auto const chosen = chooser.choose(hosts, true, random(), {now});
            chooser.record_sent(*chosen, {now});
        }
    }
    int at_joiner = 0;
    for (auto const& chooser : choosers) {
        CHECK(chooser.outstanding("joiner") <= 1);
        at_joiner += chooser.outstanding("joiner");
    }
    CHECK(at_joiner >= 1);
    auto& first = choosers.front();
    first.record_sent("joiner", {1400});
    first.record_answer("joiner", {100}, false, false, {1500});
    std::vector<candidate_host> const only{hosts.back()};
    CHECK(first.choose(only, true, 1, {1500}) == "joiner");
}

TEST_CASE("hosts that have not answered yet are used when no others are left") {
    target_chooser chooser;
    chooser.set_warm_up({.has_fixed_span = false, .awaits_first_answer = true});
    auto const hosts = two_domains();
    for (auto const& host : hosts) {
        chooser.record_sent(host.host, {1000});
    }
    CHECK(chooser.choose(hosts, true, 1, {1001}));
    CHECK(chooser.place(hosts, true, 1, {1001}));
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
