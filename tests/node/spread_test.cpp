/// How soon a version that one host has read is in force at all others.

#include "node/simulated_fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace caraway;
using namespace caraway::simulation;

namespace {

/// Hosts have to follow 3 s after the registry's return, and a reader has up to 2.6 s of these to be
/// answered.
constexpr duration spread_limit{400};

fleet_plan large_fleet() {
    auto plan = make_plan({{.name = "front", .hosts = 96}});
    plan.domains = {"a", "b", "c", "d", "e", "f"};
    plan.delay_between_domains = duration{6};
    return plan;
}

std::string first_reader(simulated_fleet const& fleet) {
    auto const hosts = fleet.hosts();
    return *std::ranges::find_if(hosts,
                                 [&fleet](std::string const& host) { return fleet.reads_platform(host); });
}

/// The hosts that do not have the reader's configuration yet.
std::vector<std::string> hosts_behind(simulated_fleet const& fleet, std::string const& reader) {
    std::vector<std::string> behind;
    for (auto const& host : fleet.hosts()) {
        if (fleet.is_alive(host) &&
            fleet.configuration_revision(host) < fleet.configuration_revision(reader)) {
            behind.push_back(host);
        }
    }
    return behind;
}

} // namespace

// Of all readers the registry answers one; the others are turned away or hear nothing.
TEST_CASE("a version that a single reader of a large fleet has read is in force everywhere in time") {
    auto const plan = large_fleet();
    simulated_fleet fleet(plan);
    auto const reader = first_reader(fleet);
    SUBCASE("in calm") {}
    SUBCASE("while the other readers are killed") {
        for (auto const& host : fleet.hosts()) {
            if (host != reader && fleet.reads_platform(host)) {
                fleet.kill(host);
            }
        }
    }
    SUBCASE("while the other readers stand still") {
        for (auto const& host : fleet.hosts()) {
            if (host != reader && fleet.reads_platform(host)) {
                fleet.pause(host, duration{60'000});
            }
        }
    }
    auto const before = fleet.configuration_revision(reader);
    fleet.publish_configuration_at(reader, plan.configuration);
    fleet.run_for(spread_limit);
    CHECK(fleet.configuration_revision(reader) > before);
    auto const behind = hosts_behind(fleet, reader);
    auto const late =
        std::ranges::count_if(behind, [&fleet](std::string const& host) { return !fleet.is_paused(host); });
    CHECK(late == 0);
}
