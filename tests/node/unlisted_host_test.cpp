/// What becomes of work under way at a host that a new host list no longer names, or names at another
/// address.

#include "node/simulated_fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace caraway;
using namespace caraway::simulation;

namespace {

constexpr double caller_timeout_ms = 5000;

/// A front service, each run of which calls a slow back service.
fleet_plan slow_calls() {
    auto plan =
        make_plan({{.name = "front", .hosts = 3, .slots = 30, .service_time = duration{10}, .calls = "back"},
                   {.name = "back", .hosts = 3, .slots = 30, .service_time = duration{1000}}});
    for (auto const* name : {"front-read", "front-write", "back-read", "back-write"}) {
        plan.configuration["routes"][name]["deadline_ms"] = {.value = caller_timeout_ms};
    }
    return plan;
}

std::vector<std::string> send_to_all(simulated_fleet& fleet) {
    std::vector<std::string> requests;
    for (auto const& host : fleet.hosts()) {
        for (auto const* path : {"/front/read", "/front/write", "/back/read", "/back/write"}) {
            requests.push_back(fleet.send_request(host, path, caller_timeout_ms));
        }
    }
    return requests;
}

void remove_from_list(simulated_fleet& fleet, std::string const& host) {
    auto hosts = fleet.listed_hosts();
    std::erase_if(hosts, [&host](listed_host const& entry) { return entry.host == host; });
    fleet.publish_hosts(std::move(hosts));
}

} // namespace

// Hosts closed their links to a host as soon as a list no longer named it. Callers got 502 for requests that
// its target ran to their end, and what may be repeated was cancelled there.
TEST_CASE("requests at hosts that leave the list without notice end with their answers") {
    simulated_fleet fleet(slow_calls());
    auto const requests = send_to_all(fleet);
    fleet.run_for(duration{200});
    auto const runs_before = fleet.runs().size();
    REQUIRE(runs_before > requests.size());
    auto const front = fleet.hosts_of("front").front();
    auto const back = fleet.hosts_of("back").front();
    bool moves = false;
    SUBCASE("no process stops") {}
    SUBCASE("a process that is being stopped awaits answers") {
        fleet.terminate(fleet.hosts().back());
    }
    SUBCASE("the host's own process is being stopped") {
        fleet.terminate(back);
    }
    SUBCASE("the hosts are listed at other addresses") {
        moves = true;
    }
    if (moves) {
        auto hosts = fleet.listed_hosts();
        for (auto& entry : hosts) {
            entry.link = entry.host == front || entry.host == back ? "10.0.9.9:1" : entry.link;
        }
        fleet.publish_hosts(std::move(hosts));
    } else {
        remove_from_list(fleet, front);
        remove_from_list(fleet, back);
    }
    fleet.run_for(duration{3000});
    for (auto const& id : requests) {
        CAPTURE(id);
        CHECK(fleet.answers().at(id).result == outcome::ran);
        CHECK(fleet.runs_of(id) == 1);
    }
    CHECK(fleet.runs().size() == runs_before);
}

// The list was taken for the end of the process that a ticket is bound to, while its run went on.
TEST_CASE(
    "a ticket that is sent again while its run goes on at a host that has left the list gets the answer") {
    auto plan = slow_calls();
    plan.configuration["routes"]["back-write"]["tickets"] = {.value = true};
    simulated_fleet fleet(plan);
    auto const entry = fleet.hosts_of("front").front();
    auto const asked = fleet.send_request(entry, "/back/write", caller_timeout_ms);
    fleet.run_for(duration{50});
    auto const ticket = fleet.answers().at(asked).ticket;
    REQUIRE_FALSE(ticket.empty());
    auto const first = fleet.send_request(entry, "/back/write", caller_timeout_ms, {}, ticket);
    fleet.run_for(duration{200});
    REQUIRE(fleet.runs().size() == 1);
    remove_from_list(fleet, fleet.runs().front().host);
    fleet.run_for(duration{200});
    auto const second = fleet.send_request(entry, "/back/write", caller_timeout_ms, {}, ticket);
    fleet.run_for(duration{2000});
    CHECK(fleet.answers().at(first).result == outcome::ran);
    CHECK(fleet.answers().at(second).result == outcome::ran);
    CHECK(fleet.runs().size() == 1);
}

TEST_CASE("a request at a host that has left the list and is dead ends within the time of its pings") {
    simulated_fleet fleet(slow_calls());
    auto const entry = fleet.hosts_of("front").front();
    auto const id = fleet.send_request(entry, "/back/write", caller_timeout_ms);
    fleet.run_for(duration{200});
    REQUIRE(fleet.runs().size() == 1);
    auto const host = fleet.runs().front().host;
    fleet.set_service_time(host, duration{caller_timeout_ms});
    remove_from_list(fleet, host);
    fleet.partition(host, duration{60'000});
    fleet.run_for(duration{1500});
    CHECK(fleet.answers().at(id).code == result_code::peer_lost);
}

TEST_CASE("a host that has left the list gets no new work over the link that is still open") {
    simulated_fleet fleet(slow_calls());
    send_to_all(fleet);
    fleet.run_for(duration{200});
    auto const host = fleet.hosts_of("back").front();
    remove_from_list(fleet, host);
    fleet.run_for(duration{50});
    auto const from = fleet.now();
    auto const later = send_to_all(fleet);
    fleet.run_for(duration{4000});
    for (auto const& id : later) {
        CHECK(fleet.answers().at(id).result == outcome::ran);
    }
    CHECK(std::ranges::none_of(
        fleet.runs(), [&](target_run const& run) { return run.host == host && run.started > from; }));
}
