/// Which hosts of a failure domain read the platform, in a fleet that is too large for links between all.

#include "node/simulated_fleet.hpp"

#include <doctest/doctest.h>

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
