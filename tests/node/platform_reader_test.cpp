/// Which hosts of a failure domain read the platform, in a fleet that is too large for links between all.

#include "node/simulated_fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace caraway;
using namespace caraway::simulation;

namespace {

fleet_plan sixty_hosts() {
    auto plan = make_plan({{.name = "front", .hosts = 60}});
    plan.domains = {"a", "b", "c"};
    return plan;
}

std::map<std::string, std::vector<std::string>> readers_by_domain(simulated_fleet const& fleet) {
    std::map<std::string, std::vector<std::string>> readers;
    for (auto const& entry : fleet.listed_hosts()) {
        if (fleet.reads_platform(entry.host)) {
            readers[entry.failure_domain].push_back(entry.host);
        }
    }
    return readers;
}

} // namespace

TEST_CASE("two hosts of each failure domain read the platform, and a standby replaces one that is lost") {
    simulated_fleet fleet(sixty_hosts());
    auto const before = readers_by_domain(fleet);
    REQUIRE(before.size() == 3);
    for (auto const& [domain, readers] : before) {
        CHECK(readers.size() == 2);
    }
    SUBCASE("killed") {
        fleet.kill(before.at("a").front());
    }
    SUBCASE("cut off from all other hosts") {
        fleet.partition(before.at("a").front(), duration{4000});
    }
    fleet.run_for(duration{3000});
    auto after = readers_by_domain(fleet);
    std::erase(after.at("a"), before.at("a").front());
    CHECK(after.at("a").size() == 2);
    CHECK(after.at("b") == before.at("b"));
}

TEST_CASE("without a link to any reader of its domain every host reads the platform") {
    simulated_fleet fleet(sixty_hosts());
    auto const listed = fleet.listed_hosts();
    for (auto const& entry : listed) {
        if (entry.failure_domain == "a" && fleet.reads_platform(entry.host)) {
            fleet.kill(entry.host);
        }
    }
    fleet.run_for(duration{3000});
    // The standby is left.
    REQUIRE(readers_by_domain(fleet).at("a").size() == 1);
    fleet.kill(readers_by_domain(fleet).at("a").front());
    fleet.run_for(duration{3000});
    CHECK(readers_by_domain(fleet).at("a").size() == 17);
}

namespace {

/// A version is in force within `config-deadline-ms` and the time by which an unstable registry stretches it.
/// The longest of a reader's own time limits, 2.4 s until a silent call is overdue, is not simulated.
constexpr duration max_time_in_force{3000};
constexpr std::size_t max_askers_per_domain = 5;

std::size_t hosts_with(simulated_fleet const& fleet, std::uint64_t revision) {
    return static_cast<std::size_t>(std::ranges::count_if(
        fleet.hosts(), [&](auto const& host) { return fleet.configuration_revision(host) >= revision; }));
}

std::uint64_t publish(simulated_fleet& fleet, fleet_plan const& plan) {
    auto items = plan.configuration;
    items["routes"]["front-read"]["deadline_ms"] = {.value = 1999.0};
    fleet.publish_configuration(items);
    return fleet.configuration_revision(fleet.hosts().front()) + 1;
}

fleet_plan hosts_in(std::vector<std::string> domains, int hosts_per_domain) {
    auto const count = hosts_per_domain * static_cast<int>(domains.size());
    auto plan = make_plan({{.name = "front", .hosts = count}});
    plan.domains = std::move(domains);
    return plan;
}

} // namespace

// A reader kept its place while its links were open, although the platform turned it away: a withdrawn key
// worked on at every other host until the platform served the readers again.
TEST_CASE("a version is in force in time while the platform turns away the readers of every domain") {
    std::vector<std::string> domains{"a"};
    int hosts_per_domain = 7;
    int rounds = 1;
    SUBCASE("one domain of 7 hosts") {}
    SUBCASE("two domains of 7 hosts") {
        domains = {"a", "b"};
    }
    SUBCASE("three domains of 20 hosts, without links between all") {
        domains = {"a", "b", "c"};
        hosts_per_domain = 20;
    }
    SUBCASE("the standby is turned away too") {
        rounds = 2;
    }
    auto const plan = hosts_in(domains, hosts_per_domain);
    simulated_fleet fleet(plan);
    fleet.follow_platform();
    fleet.run_for(duration{1000});
    for (int round = 0; round < rounds; ++round) {
        for (auto const& [domain, readers] : readers_by_domain(fleet)) {
            for (auto const& host : readers) {
                fleet.serve_from_platform(host, false);
            }
        }
        fleet.run_for(duration{round + 1 < rounds ? 1000.0 : 0.0});
    }
    auto const revision = publish(fleet, plan);
    fleet.run_for(max_time_in_force);
    CHECK(hosts_with(fleet, revision) == fleet.hosts().size());
}

TEST_CASE("hosts stop to read once the platform serves the readers before them again") {
    auto const plan = hosts_in({"a"}, 7);
    simulated_fleet fleet(plan);
    fleet.follow_platform();
    fleet.run_for(duration{1000});
    auto const before = readers_by_domain(fleet);
    for (auto const& host : before.at("a")) {
        fleet.serve_from_platform(host, false);
    }
    fleet.run_for(duration{2000});
    // The two that are turned away go on to ask, so that they notice when they are served.
    CHECK(readers_by_domain(fleet).at("a").size() == 3);
    for (auto const& host : before.at("a")) {
        fleet.serve_from_platform(host, true);
    }
    fleet.run_for(duration{1000});
    CHECK(readers_by_domain(fleet) == before);
}

TEST_CASE("a platform that turns every host away is asked by few of them") {
    auto const plan = hosts_in({"a", "b", "c"}, 20);
    simulated_fleet fleet(plan);
    fleet.follow_platform();
    for (auto const& host : fleet.hosts()) {
        fleet.serve_from_platform(host, false);
    }
    fleet.run_for(duration{10'000});
    std::size_t askers = 0;
    for (auto const& [domain, readers] : readers_by_domain(fleet)) {
        askers += readers.size();
    }
    CHECK(askers <= 3 * max_askers_per_domain);
    auto const calls = fleet.platform_calls();
    fleet.run_for(duration{3000});
    // Each asks once in 300 ms here.
    CHECK(fleet.platform_calls() - calls <= 11 * askers);
    for (auto const& host : fleet.hosts()) {
        fleet.serve_from_platform(host, true);
    }
    auto const revision = publish(fleet, plan);
    fleet.run_for(max_time_in_force);
    CHECK(hosts_with(fleet, revision) == fleet.hosts().size());
    for (auto const& [domain, readers] : readers_by_domain(fleet)) {
        CHECK(readers.size() == 2);
    }
}
