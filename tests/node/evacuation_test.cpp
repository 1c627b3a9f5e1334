/// Failure domains that the operator evacuates: candidates, queued work, calls, restarts and cuts.

#include "node/simulated_fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace caraway;
using namespace caraway::simulation;

namespace {

/// How long after the operator's request nothing may reach a target of the domain any more; the users'
/// platform allows five times as much.
constexpr duration evacuation_time{1000};

/// A front service, each run of which calls a back service, with room for all load in one domain.
fleet_plan two_layers() {
    return make_plan(
        {{.name = "front", .hosts = 4, .slots = 30, .service_time = duration{10}, .calls = "back"},
         {.name = "back", .hosts = 4, .slots = 20, .service_time = duration{20}}});
}

void run_load(simulated_fleet& fleet, std::vector<std::string>& requests, duration span,
              std::vector<std::string> const& entries) {
    constexpr int step_interval = 10;
    fleet.run_for(span, [&fleet, &requests, &entries, step = 0]() mutable {
        if (++step % step_interval != 0) {
            return;
        }
        auto const turn = static_cast<std::size_t>(step / step_interval);
        auto const id = fleet.send_request(entries.at(turn % entries.size()),
                                           turn % 2 == 0 ? "/front/read" : "/back/write");
        if (!id.empty()) {
            requests.push_back(id);
        }
    });
}

std::vector<std::string> hosts_in(simulated_fleet const& fleet, std::string const& domain) {
    std::vector<std::string> names;
    for (auto const& entry : fleet.listed_hosts()) {
        if (entry.failure_domain == domain) {
            names.push_back(entry.host);
        }
    }
    return names;
}

std::ptrdiff_t runs_in(simulated_fleet const& fleet, std::string const& domain, time_point from) {
    auto const names = hosts_in(fleet, domain);
    return std::ranges::count_if(fleet.runs(), [&](target_run const& run) {
        return run.started >= from && std::ranges::find(names, run.host) != names.end();
    });
}

void check_all_served(simulated_fleet const& fleet, std::vector<std::string> const& requests) {
    auto const served = std::ranges::count_if(
        requests, [&fleet](std::string const& id) { return fleet.answers().at(id).result == outcome::ran; });
    CHECK(static_cast<std::size_t>(served) == requests.size());
}

} // namespace

TEST_CASE("an emptied domain gets no request or call, its callers are served, and it is used again after") {
    simulated_fleet fleet(two_layers());
    std::vector<std::string> requests;
    run_load(fleet, requests, duration{1000}, fleet.hosts());
    REQUIRE(runs_in(fleet, "north", {}) > 0);
    fleet.evacuate({"north"});
    run_load(fleet, requests, evacuation_time, fleet.hosts());
    auto const from = fleet.now();
    run_load(fleet, requests, duration{5000}, fleet.hosts());
    CHECK(runs_in(fleet, "north", from) == 0);
    CHECK(runs_in(fleet, "south", from) > 0);
    fleet.evacuate({});
    run_load(fleet, requests, evacuation_time, fleet.hosts());
    auto const taken_back = fleet.now();
    run_load(fleet, requests, duration{2000}, fleet.hosts());
    CHECK(runs_in(fleet, "north", taken_back) > 0);
    fleet.run_for(duration{1500});
    check_all_served(fleet, requests);
}

TEST_CASE("work that is queued in a domain when it is emptied runs elsewhere, and what runs ends there") {
    auto plan = make_plan({{.name = "front", .hosts = 4, .slots = 4, .service_time = duration{400}}});
    simulated_fleet fleet(plan);
    std::vector<std::string> requests;
    for (int number = 0; number < 12; ++number) {
        requests.push_back(fleet.send_request(hosts_in(fleet, "north").front(), "/front/write", 1900));
    }
    fleet.run_for(duration{50});
    auto const running = runs_in(fleet, "north", {});
    REQUIRE(running > 0);
    fleet.evacuate({"north"});
    fleet.run_for(duration{2500});
    CHECK(runs_in(fleet, "north", {}) == running);
    check_all_served(fleet, requests);
    for (auto const& id : requests) {
        CHECK(fleet.runs_of(id) == 1);
    }
}

TEST_CASE("a node that restarts in or beside an emptied domain sends nothing there") {
    simulated_fleet fleet(two_layers());
    std::vector<std::string> requests;
    fleet.evacuate({"north"});
    run_load(fleet, requests, evacuation_time, fleet.hosts());
    auto const from = fleet.now();
    for (auto const& host : {hosts_in(fleet, "north").front(), hosts_in(fleet, "south").front()}) {
        fleet.restart(host);
        run_load(fleet, requests, duration{3000}, fleet.hosts());
    }
    CHECK(runs_in(fleet, "north", from) == 0);
}

// The cut host has the older list and still sends to the domain; the hosts there refuse, and it asks others.
TEST_CASE("a node that was cut off while a domain was emptied is turned away there and served elsewhere") {
    simulated_fleet fleet(two_layers());
    std::vector<std::string> requests;
    auto const cut_host = hosts_in(fleet, "south").front();
    fleet.partition(cut_host, duration{3000});
    fleet.evacuate({"north"});
    fleet.run_for(duration{3000});
    auto const from = fleet.now();
    run_load(fleet, requests, duration{3000}, {cut_host});
    CHECK(runs_in(fleet, "north", from) == 0);
    fleet.run_for(duration{1500});
    auto const answered_late = std::ranges::count_if(requests, [&fleet](std::string const& id) {
        auto const code = fleet.answers().at(id).code;
        return code == result_code::domain_evacuated;
    });
    CHECK(answered_late == 0);
}

TEST_CASE("with all domains emptied callers are refused at once and told when to come back") {
    simulated_fleet fleet(two_layers());
    fleet.evacuate({"north", "south"});
    fleet.run_for(evacuation_time);
    auto const from = fleet.now();
    std::vector<std::string> requests;
    run_load(fleet, requests, duration{1000}, fleet.hosts());
    fleet.run_for(duration{1500});
    CHECK(runs_in(fleet, "north", from) + runs_in(fleet, "south", from) == 0);
    for (auto const& id : requests) {
        auto const& answer = fleet.answers().at(id);
        CHECK(answer.code == result_code::no_target);
        CHECK(answer.status == 503);
        CHECK(answer.retry_after_ms > 0);
    }
}
