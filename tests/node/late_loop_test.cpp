/// Loops that are late: what arrived while a process had no processor time lies ready all at once.

#include "node/simulated_fleet.hpp"
#include "support/property.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <vector>

using namespace caraway;
using namespace caraway::simulation;

namespace {

/// Time for the end of a request to cross a link, twice at most, and for the next periodic work of a host.
constexpr duration notice_time{15};
constexpr double caller_timeout_ms = 8000;

fleet_plan one_layer(int hosts, int slots) {
    auto plan = make_plan({{.name = "front", .hosts = hosts, .slots = slots, .service_time = duration{40}}});
    for (auto const* name : {"front-read", "front-write"}) {
        plan.configuration["routes"][name]["deadline_ms"] = {.value = caller_timeout_ms};
    }
    return plan;
}

std::size_t runs_since(simulated_fleet const& fleet, time_point instant) {
    return static_cast<std::size_t>(
        std::ranges::count_if(fleet.runs(), [&](target_run const& run) { return run.started > instant; }));
}

} // namespace

// A loop that was late started each request that it read before it looked at the end of the caller behind it.
TEST_CASE("a late entry host starts nothing for callers whose end has arrived with their requests") {
    simulated_fleet fleet(one_layer(3, 4));
    auto const late = fleet.hosts().front();
    fleet.pause(late, duration{1200});
    fleet.run_for(duration{100});
    std::vector<std::string> requests;
    for (int index = 0; index < 20; ++index) {
        requests.push_back(
            fleet.send_request(late, index % 2 == 0 ? "/front/read" : "/front/write", caller_timeout_ms));
    }
    fleet.run_for(duration{250});
    for (auto const& id : requests) {
        fleet.disconnect(id);
    }
    auto const left = fleet.now();
    fleet.run_for(duration{3000});
    CHECK(runs_since(fleet, left) == 0);
}

// The same where the host beside the target is late: requests of other hosts, their cancellations, and the
// answers of the target that make room for requests in the queue.
TEST_CASE("a late host beside a target starts nothing whose cancellation has arrived") {
    simulated_fleet fleet(one_layer(2, 1));
    auto const entry = fleet.hosts().front();
    auto const late = fleet.hosts().back();
    std::vector<std::string> requests;
    auto const send = [&](int count) {
        for (int index = 0; index < count; ++index) {
            requests.push_back(fleet.send_request(entry, index % 2 == 0 ? "/front/read" : "/front/write",
                                                  caller_timeout_ms));
        }
    };
    send(6);
    fleet.run_for(duration{10});
    fleet.pause(late, duration{700});
    send(6);
    fleet.run_for(duration{250});
    for (auto const& id : requests) {
        fleet.disconnect(id);
    }
    auto const left = fleet.now();
    fleet.run_for(duration{3000});
    CHECK(runs_since(fleet, left + notice_time) == 0);
}

// A request had its whole time limit from when it was read, so that targets were told time that callers did
// not have.
TEST_CASE("a late host does not give a request its whole time limit") {
    constexpr double timeout_ms = 320;
    simulated_fleet fleet(one_layer(1, 4));
    auto const host = fleet.hosts().front();
    std::size_t const before = fleet.runs().size();
    SUBCASE("late for longer than its time limit") {
        fleet.pause(host, duration{800});
        fleet.run_for(duration{600});
        fleet.send_request(host, "/front/read", timeout_ms);
        fleet.run_for(duration{300});
        REQUIRE(fleet.runs().size() == before + 1);
        CHECK(fleet.runs().back().time_left <= duration{timeout_ms / 2});
        CHECK(fleet.runs().back().time_left >= duration{timeout_ms / 2 - 20});
    }
    SUBCASE("late for a part of it") {
        fleet.pause(host, duration{100});
        fleet.run_for(duration{20});
        fleet.send_request(host, "/front/read", timeout_ms);
        fleet.run_for(duration{200});
        REQUIRE(fleet.runs().size() == before + 1);
        CHECK(fleet.runs().back().time_left <= duration{timeout_ms - 50});
        CHECK(fleet.runs().back().time_left >= duration{timeout_ms - 70});
    }
    SUBCASE("on time") {
        fleet.send_request(host, "/front/read", timeout_ms);
        fleet.run_for(duration{200});
        REQUIRE(fleet.runs().size() == before + 1);
        CHECK(fleet.runs().back().time_left >= duration{timeout_ms - 20});
    }
}

// The same over any order of requests, ends and late hosts.
TEST_CASE("no request starts later than one turn after the end of its caller has arrived") {
    tests::check_property(
        "no start after an end that has arrived",
        [] {
            auto const actions = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
                40, rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 3), rc::gen::inRange(1, 60)));
            simulated_fleet fleet(one_layer(3, 1));
            auto const hosts = fleet.hosts();
            std::map<std::string, time_point> late_since;
            std::map<std::string, time_point> late_until;
            std::map<std::string, std::string> entries;    // By request id.
            std::map<std::string, time_point> end_arrived; // The same, at the entry host.
            std::set<std::string> ended_unread;            // Their end arrived in the same turn.
            std::vector<std::string> waiting;
            for (auto const& [action, index, gap] : actions) {
                auto const& host = hosts.at(static_cast<std::size_t>(index));
                if (action < 3) {
                    auto const id = fleet.send_request(host, action == 0 ? "/front/write" : "/front/read",
                                                       caller_timeout_ms);
                    entries[id] = host;
                    waiting.push_back(id);
                } else if (action < 5 && !waiting.empty()) {
                    auto const position = static_cast<std::size_t>(gap) % waiting.size();
                    auto const id = waiting.at(position);
                    waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(position));
                    fleet.disconnect(id);
                    end_arrived[id] = std::max(fleet.now(), late_until[entries[id]]);
                    bool const is_unread = fleet.now() < late_until[entries[id]] &&
                                           fleet.answers().at(id).sent >= late_since[entries[id]];
                    if (is_unread) {
                        ended_unread.insert(id);
                    }
                } else if (action == 5 && fleet.now() >= late_until[host]) {
                    late_since[host] = fleet.now();
                    late_until[host] = fleet.now() + duration{gap * 10.0};
                    fleet.pause(host, duration{gap * 10.0});
                }
                fleet.run_for(duration{static_cast<double>(gap)});
            }
            fleet.run_for(duration{2000});
            for (auto const& run : fleet.runs()) {
                auto const end = end_arrived.find(run.request_id);
                RC_ASSERT_FALSE(ended_unread.contains(run.request_id));
                RC_ASSERT(end == end_arrived.end() || run.started <= end->second + notice_time);
            }
        },
        60);
}
