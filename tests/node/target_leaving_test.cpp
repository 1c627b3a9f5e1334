/// Targets that state in their answers that they are leaving, while the host list still names them as live.

#include "node/simulated_fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace caraway;
using namespace caraway::simulation;

namespace {

/// How long after such an answer the platform still allows requests to the target.
constexpr duration drain_time{2000};

/// A front service, each run of which calls a back service.
fleet_plan two_layers(duration service_time = duration{20}) {
    return make_plan(
        {{.name = "front", .hosts = 4, .slots = 30, .service_time = duration{10}, .calls = "back"},
         {.name = "back", .hosts = 4, .slots = 10, .service_time = service_time}});
}

/// Sends requests to each host in turn, to both services.
void run_load(simulated_fleet& fleet, std::vector<std::string>& requests, duration span) {
    constexpr int step_interval = 10;
    fleet.run_for(span, [&fleet, &requests, step = 0]() mutable {
        if (++step % step_interval != 0) {
            return;
        }
        auto const hosts = fleet.hosts();
        auto const turn = static_cast<std::size_t>(step / step_interval);
        auto const id =
            fleet.send_request(hosts.at(turn % hosts.size()), turn % 2 == 0 ? "/front/read" : "/back/write");
        if (!id.empty()) {
            requests.push_back(id);
        }
    });
}

std::size_t runs_at(simulated_fleet const& fleet, std::string const& host, time_point from) {
    return static_cast<std::size_t>(std::ranges::count_if(
        fleet.runs(), [&](target_run const& run) { return run.host == host && run.started >= from; }));
}

} // namespace

// The registry is away and still lists the target as live: only the target's answers say that it is leaving.
TEST_CASE("a target that states that it is leaving gets no new work on any way, and callers are served") {
    simulated_fleet fleet(two_layers());
    std::vector<std::string> requests;
    run_load(fleet, requests, duration{1000});
    auto const leaving = fleet.hosts_of("back").front();
    REQUIRE(runs_at(fleet, leaving, {}) > 0);
    fleet.set_target_statement(leaving, {.leaving = true});
    run_load(fleet, requests, drain_time);
    auto const from = fleet.now();
    run_load(fleet, requests, duration{5000});
    fleet.run_for(duration{1500});
    CHECK(runs_at(fleet, leaving, from) == 0);
    auto const served = std::ranges::count_if(
        requests, [&fleet](std::string const& id) { return fleet.answers().at(id).result == outcome::ran; });
    CHECK(static_cast<std::size_t>(served) == requests.size());
}

// The process beside the target forgets the statement when it restarts; other hosts have passed it on.
TEST_CASE("a restart of the host beside a target that is leaving gives it no new work") {
    simulated_fleet fleet(two_layers(duration{500}));
    std::vector<std::string> requests;
    auto const leaving = fleet.hosts_of("back").front();
    fleet.set_target_statement(leaving, {.leaving = true});
    run_load(fleet, requests, drain_time + duration{1000});
    for (int restart = 0; restart < 2; ++restart) {
        auto const from = fleet.now();
        fleet.restart(leaving);
        run_load(fleet, requests, duration{3000});
        CHECK(runs_at(fleet, leaving, from) == 0);
    }
}

// A target that starts at the address of one that left, even under its id, takes part at once.
TEST_CASE("a new incarnation of a target that was leaving gets work again") {
    simulated_fleet fleet(two_layers());
    std::vector<std::string> requests;
    auto const host = fleet.hosts_of("back").front();
    fleet.set_target_statement(host, {.leaving = true});
    run_load(fleet, requests, drain_time);
    fleet.set_target_statement(host, {});
    auto hosts = fleet.listed_hosts();
    std::ranges::find(hosts, host, &listed_host::host)->started_ms = 1'700'000'000'000;
    fleet.publish_hosts(std::move(hosts));
    auto const from = fleet.now();
    run_load(fleet, requests, duration{3000});
    CHECK(runs_at(fleet, host, from) > 0);
}
