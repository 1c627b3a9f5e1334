/// Work that waits at a slowed target and is passed on to another before it runs.

#include "node/simulated_fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace caraway;
using namespace caraway::simulation;

namespace {

fleet_plan one_service() {
    auto plan = make_plan({{.name = "front", .hosts = 4, .slots = 4, .service_time = duration{40}}});
    plan.placement = placement_rule::wait;
    return plan;
}

/// Sends requests at an even rate to the first host for the span, and returns their ids.
std::vector<std::string> send_requests(simulated_fleet& fleet, double per_second, duration span) {
    std::vector<std::string> requests;
    auto next = fleet.now();
    fleet.run_for(span, [&] {
        for (; next <= fleet.now(); next = next + duration{1000 / per_second}) {
            requests.push_back(fleet.send_request(fleet.hosts().front(), "/front/read"));
        }
    });
    fleet.run_for(duration{1500});
    return requests;
}

} // namespace

TEST_CASE("work that waits at a target which has slowed passes to one with room and runs once") {
    simulated_fleet fleet(one_service());
    send_requests(fleet, 150, duration{2000});
    fleet.set_service_time(fleet.hosts().front(), duration{1200});
    auto const requests = send_requests(fleet, 150, duration{2000});
    std::size_t served = 0;
    for (auto const& id : requests) {
        CHECK(fleet.runs_of(id) <= 1);
        served += fleet.answers().at(id).result == outcome::ran ? 1 : 0;
    }
    CHECK(served * 100 >= requests.size() * 97);
}

TEST_CASE("when every target is slow, work is passed on once at most and never goes round") {
    simulated_fleet fleet(one_service());
    send_requests(fleet, 150, duration{2000});
    for (auto const& host : fleet.hosts()) {
        fleet.set_service_time(host, duration{600});
    }
    auto const requests = send_requests(fleet, 150, duration{2000});
    for (auto const& id : requests) {
        CHECK(fleet.runs_of(id) <= 1);
        auto const& answer = fleet.answers().at(id);
        CHECK(answer.answered);
        bool const is_refused = answer.result != outcome::ran;
        CHECK((!is_refused || fleet.runs_of(id) == 0 || answer.result == outcome::unknown));
    }
}
