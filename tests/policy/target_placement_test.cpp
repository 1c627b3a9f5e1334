/// Placement by expected wait and distance, against two random choices by requests in flight.

#include "policy/placement_simulation.hpp"

#include <doctest/doctest.h>

using namespace caraway;
using namespace caraway::simulation;

namespace {

std::vector<placed_host> hosts_in(int domains, int per_domain, std::vector<double> const& speeds) {
    std::vector<placed_host> hosts;
    for (int index = 0; index < domains * per_domain; ++index) {
        hosts.push_back({.name = "h" + std::to_string(index),
                         .domain = index % domains,
                         .speed = speeds[static_cast<std::size_t>(index) % speeds.size()]});
    }
    return hosts;
}

std::pair<placement_result, placement_result> play_both(placement_plan plan) {
    plan.rule = chosen_by::load;
    auto const baseline = play(plan);
    plan.rule = chosen_by::wait;
    return {baseline, play(plan)};
}

} // namespace

TEST_CASE("speeds of 0.5 to 1.6: no target is over 1.25 times the mean load by speed") {
    placement_plan const plan{.hosts = hosts_in(1, 9, {0.5, 1.0, 1.6}), .requests_per_s = {1600}};
    auto const [baseline, placed] = play_both(plan);
    CHECK(placed.imbalance() < 1.25);
    CHECK(placed.imbalance() <= baseline.imbalance() + 0.02);
    CHECK(placed.percentile(0.99) <= baseline.percentile(0.99) * 1.02);
}

TEST_CASE("noise of 600 ms: work avoids the targets that are slow at the moment") {
    std::mt19937_64 random(5);
    placement_plan const plan{.hosts = hosts_in(1, 8, {0.5, 1.0, 1.0, 1.5}),
                              .requests_per_s = {1500},
                              .each_50_ms = [random](double now, std::vector<placed_host>& hosts) mutable {
                                  if (static_cast<int>(now) / 50 % 12 == 0) {
                                      for (auto& host : hosts) {
                                          host.slowdown = random() % 100 < 15 ? 2.5 : 1;
                                      }
                                  }
                              }};
    auto const [baseline, placed] = play_both(plan);
    CHECK(placed.percentile(0.99) < baseline.percentile(0.99));
}

TEST_CASE("a domain at three times its share spills to its region before it queues") {
    placement_plan const plan{.hosts = hosts_in(4, 3, {0.5, 1.0, 1.5}),
                              .requests_per_s = {1050, 350, 350, 350}};
    auto const [baseline, placed] = play_both(plan);
    CHECK(placed.percentile(0.99) < baseline.percentile(0.99));
    CHECK(placed.between_regions < baseline.between_regions);
}

TEST_CASE("a region without room is helped by the others") {
    auto hosts = hosts_in(4, 3, {1.0});
    for (auto& host : hosts) {
        host.slots = host.domain < 2 ? 6 : 20;
    }
    placement_plan const plan{.hosts = hosts, .requests_per_s = {400, 400, 200, 200}};
    auto const [baseline, placed] = play_both(plan);
    CHECK(placed.percentile(0.99) < 900);
    CHECK(placed.percentile(0.99) <= baseline.percentile(0.99) * 1.05);
}

TEST_CASE("a quiet day of an uneven fleet sends nothing between regions and little between domains") {
    placement_plan const plan{.hosts = hosts_in(4, 3, {0.5, 1.0, 1.5}),
                              .requests_per_s = {300, 200, 250, 250}};
    auto const placed = play(plan);
    CHECK(placed.between_regions == 0);
    CHECK(placed.between_domains * 50 < placed.sent);
}

TEST_CASE("figures of all hosts that are a second old cause no herd on the one that looks free") {
    placement_plan plan{.hosts = hosts_in(1, 9, {1.0}),
                        .requests_per_s = {1800},
                        .senders_per_domain = 12,
                        .reports_in_answers = false};
    auto const [baseline, placed] = play_both(plan);
    CHECK(placed.percentile(0.99) <= baseline.percentile(0.99) * 1.05);
    CHECK(placed.imbalance() < 1.25);
}

TEST_CASE("a squeezed link is avoided while other targets have room") {
    auto hosts = hosts_in(2, 3, {1.0});
    placement_plan const plan{
        .hosts = hosts,
        .requests_per_s = {900, 100},
        .each_50_ms = [](double, std::vector<placed_host>& all) { all[1].link_extra_ms = 300; }};
    auto const [baseline, placed] = play_both(plan);
    CHECK(placed.hosts[1].received * 2 < baseline.hosts[1].received);
}

TEST_CASE("a target that fails half of its answers gets little work, also while its service is calm") {
    auto hosts = hosts_in(1, 4, {1.0});
    hosts[2].failing_share = 0.5;
    placement_plan const plan{.hosts = hosts, .requests_per_s = {300}};
    auto const [baseline, placed] = play_both(plan);
    CHECK(placed.failed * 2 < baseline.failed);
    CHECK(placed.hosts[2].received > 10);
}

TEST_CASE("a target that gives no answers is found within a few requests") {
    auto hosts = hosts_in(1, 4, {1.0});
    hosts[2].silent = true;
    placement_plan const plan{.hosts = hosts, .requests_per_s = {300}};
    CHECK(play(plan).hosts[2].received < 30);
}

TEST_CASE("when targets of a whole service fail, they are not all ejected") {
    target_chooser chooser;
    std::vector<candidate_host> const hosts{
        {"a", true, 0, 10, {0}}, {"b", true, 0, 10, {0}}, {"c", true, 0, 10, {0}}};
    auto const fail = [&](std::string const& host) {
        for (int count = 0; count < 3; ++count) {
            chooser.record_sent(host, {0});
            chooser.record_answer(host, {1}, true, false, {0});
        }
    };
    fail("a");
    fail("b");
    std::map<std::string, int> counts;
    for (std::uint64_t round = 0; round < 200; ++round) {
        ++counts[chooser.place(hosts, true, round * 0x9E37'79B9'7F4A'7C15ULL, {10})->host];
    }
    CHECK(counts["c"] > counts["a"] + counts["b"]);
    fail("c");
    CHECK(chooser.place(hosts, true, 1, {10}));
    CHECK(chooser.place(hosts, false, 1, {10}));
}

TEST_CASE("a queue at the chosen host passes work on only above the score of the next best") {
    target_chooser const chooser;
    std::vector<candidate_host> hosts{{"near", true, 0, 10, {0}}, {"far", false, 0, 10, {0}}};
    auto const chosen = chooser.place(hosts, true, 1, {100});
    REQUIRE(chosen);
    CHECK(chosen->host == "near");
    CHECK(chosen->pass_on_above.milliseconds > 30);
    hosts.pop_back();
    CHECK(chooser.place(hosts, true, 1, {100})->pass_on_above.milliseconds == 0);
}
