/// No request reaches a target when its time is used up.

#include "node/simulated_fleet.hpp"

#include <doctest/doctest.h>

using namespace caraway;
using namespace caraway::simulation;

namespace {

constexpr duration timeout{600};

/// A fleet of one host whose target has crashed under a request, so that equal ones run one after the other.
simulated_fleet& crash_once(simulated_fleet& fleet) {
    fleet.crash_next_run(fleet.hosts().front());
    fleet.send_request(fleet.hosts().front(), "/front/read", timeout.milliseconds);
    fleet.run_for(duration{100});
    return fleet;
}

fleet_plan one_host() {
    return make_plan({{.name = "front", .hosts = 1, .slots = 8, .service_time = duration{20}}});
}

void check_time_left(simulated_fleet const& fleet) {
    for (auto const& run : fleet.runs()) {
        CAPTURE(run.request_id);
        auto const& call = fleet.answers().at(run.request_id);
        CHECK(run.time_left > duration{0});
        CHECK(run.started + run.time_left <= call.sent + timeout);
    }
}

} // namespace

// Requests that waited behind a suspect until their common deadline were started one after the other, and the
// target was told no time limit.
TEST_CASE("a request whose deadline passes while it waits behind a suspect never reaches the target") {
    simulated_fleet fleet(one_host());
    crash_once(fleet);
    fleet.set_service_time(fleet.hosts().front(), duration{5000});
    std::vector<std::string> waiting;
    fleet.run_for(duration{20}, [&] {
        waiting.push_back(fleet.send_request(fleet.hosts().front(), "/front/read", timeout.milliseconds));
    });
    fleet.run_for(duration{1500});
    check_time_left(fleet);
    for (std::size_t index = 1; index < waiting.size(); ++index) {
        CHECK(fleet.runs_of(waiting.at(index)) == 0);
        CHECK(fleet.answers().at(waiting.at(index)).answered);
    }
}

// The process stood still while a suspect ran, and woke after the deadline of the requests that waited.
TEST_CASE("a request whose deadline passed while its host stood still never reaches the target") {
    simulated_fleet fleet(one_host());
    crash_once(fleet);
    auto const host = fleet.hosts().front();
    fleet.set_service_time(host, duration{400});
    for (int count = 0; count < 10; ++count) {
        fleet.send_request(host, "/front/read", timeout.milliseconds);
    }
    fleet.run_for(duration{50});
    fleet.pause(host, duration{2000});
    fleet.run_for(duration{4000});
    check_time_left(fleet);
}
