/// What becomes of work for which nobody waits any more.

#include "node/simulated_fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace caraway;
using namespace caraway::simulation;

namespace {

/// The platform allows work to go on for this long after its caller has left.
constexpr duration allowed{500};
constexpr double caller_timeout_ms = 8000;

fleet_plan two_layers(fleet_plan::target_service back) {
    back.name = "back";
    auto plan = make_plan({{.name = "front", .hosts = 2, .slots = 4}, std::move(back)});
    for (auto const* name : {"back-read", "back-write"}) {
        plan.configuration["routes"][name]["deadline_ms"] = {.value = caller_timeout_ms};
    }
    return plan;
}

std::size_t runs_after(simulated_fleet const& fleet, time_point instant) {
    return static_cast<std::size_t>(std::ranges::count_if(
        fleet.runs(), [&](target_run const& run) { return run.started > instant + allowed; }));
}

} // namespace

// The host beside the target changed nothing for a request that may not be repeated and had been given to the
// target's client, though it still waited for a connection there.
TEST_CASE("a request that may not be repeated does not reach its target after its caller has left") {
    simulated_fleet fleet(two_layers({.hosts = 2, .slots = 8, .connect_time = duration{800}}));
    std::vector<std::string> requests;
    for (auto const& host : fleet.hosts()) {
        requests.push_back(fleet.send_request(host, "/back/write", caller_timeout_ms));
    }
    fleet.run_for(duration{100});
    auto const left = fleet.now();
    for (auto const& id : requests) {
        fleet.disconnect(id);
    }
    fleet.run_for(duration{3000});
    CHECK(runs_after(fleet, left) == 0);
}

TEST_CASE("a request that may not be repeated runs to its end once it has reached its target") {
    simulated_fleet fleet(two_layers({.hosts = 2, .slots = 8, .service_time = duration{1000}}));
    auto const id = fleet.send_request(fleet.hosts().front(), "/back/write", caller_timeout_ms);
    fleet.run_for(duration{100});
    fleet.disconnect(id);
    fleet.run_for(duration{3000});
    REQUIRE(fleet.runs_of(id) == 1);
    auto const& run = fleet.runs().back();
    CHECK((run.ended.value_or(run.started) - run.started).milliseconds >= 1000);
}

// Work for a host that had been killed ran on until its deadline, and what waited for it was started.
TEST_CASE("work for a host whose link has closed is stopped") {
    simulated_fleet fleet(two_layers({.hosts = 1, .slots = 1, .service_time = duration{6000}}));
    auto const back = fleet.hosts_of("back").front();
    auto const front = fleet.hosts_of("front").front();
    fleet.send_request(front, "/back/read", caller_timeout_ms);
    fleet.run_for(duration{20});
    REQUIRE(fleet.runs().size() == 1);
    fleet.send_request(front, "/back/write", caller_timeout_ms);
    fleet.run_for(duration{20});
    auto const killed = fleet.now();
    fleet.kill(front);
    fleet.run_for(duration{3000});
    CHECK(fleet.runs().front().host == back);
    CHECK(fleet.runs().front().ended.value_or(fleet.now()) - killed <= allowed);
    CHECK(runs_after(fleet, killed - allowed) == 0);
}

// The first of two callers with one ticket left, and the other one was told that it had cancelled the
// request.
TEST_CASE("of two callers that wait for one run, only the last one to leave ends it") {
    auto plan =
        two_layers({.hosts = 1, .slots = 1, .service_time = duration{50}, .connect_time = duration{600}});
    plan.configuration["routes"]["back-write"]["tickets"] = {.value = true};
    simulated_fleet fleet(plan);
    auto const callers = fleet.hosts_of("front");
    auto const asked = fleet.send_request(callers.front(), "/back/write", caller_timeout_ms);
    fleet.run_for(duration{50});
    auto const ticket = fleet.answers().at(asked).ticket;
    REQUIRE_FALSE(ticket.empty());
    auto const first = fleet.send_request(callers.front(), "/back/write", caller_timeout_ms, {}, ticket);
    auto const second = fleet.send_request(callers.back(), "/back/write", caller_timeout_ms, {}, ticket);
    fleet.run_for(duration{100});
    auto const left = fleet.now();
    fleet.disconnect(first);
    SUBCASE("the other one stays") {
        fleet.run_for(duration{3000});
        CHECK(fleet.answers().at(second).result == outcome::ran);
    }
    SUBCASE("both leave") {
        fleet.run_for(duration{50});
        fleet.disconnect(second);
        fleet.run_for(duration{3000});
        CHECK(runs_after(fleet, left) == 0);
    }
}

// The same where their request still waits for a slot.
TEST_CASE("a caller that leaves does not end the wait of another one with the same ticket") {
    auto plan = two_layers({.hosts = 1, .slots = 1, .service_time = duration{60}});
    plan.configuration["routes"]["back-write"]["tickets"] = {.value = true};
    simulated_fleet fleet(plan);
    auto const callers = fleet.hosts_of("front");
    auto const asked = fleet.send_request(callers.front(), "/back/write", caller_timeout_ms);
    fleet.run_for(duration{50});
    auto const ticket = fleet.answers().at(asked).ticket;
    fleet.send_request(callers.front(), "/back/read", caller_timeout_ms);
    fleet.run_for(duration{10});
    auto const first = fleet.send_request(callers.front(), "/back/write", caller_timeout_ms, {}, ticket);
    auto const second = fleet.send_request(callers.back(), "/back/write", caller_timeout_ms, {}, ticket);
    fleet.run_for(duration{20});
    fleet.disconnect(first);
    fleet.run_for(duration{1000});
    CHECK(fleet.answers().at(second).result == outcome::ran);
}
