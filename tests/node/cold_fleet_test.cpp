/// Cold targets on a fleet of node cores in simulated time: who paces, who learns of it and what callers get.

#include "node/simulated_fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace caraway;
using namespace caraway::simulation;

namespace {

constexpr double cold_rate = 12;
constexpr duration cold_span{3000};
constexpr cold_tolerance tolerance{.factor = 1.5, .slack = 8};
constexpr std::size_t allowed_in_a_second = 26;

/// Four hosts of one service in two failure domains, each of whose targets gets 50 requests per second.
fleet_plan one_service() {
    auto plan = make_plan({{.name = "front", .hosts = 4, .slots = 50, .service_time = duration{50}}});
    auto& service = plan.configuration["services"]["front"];
    service["cold_rate"] = {.value = cold_rate};
    service["cold_ms"] = {.value = cold_span.milliseconds};
    service["health_path"] = {.value = std::string("/health")};
    plan.cold = tolerance;
    return plan;
}

std::size_t most_runs_in_a_second(simulated_fleet const& fleet, std::string const& host, time_point from,
                                  time_point to) {
    std::vector<double> starts;
    for (auto const& run : fleet.runs()) {
        if (run.host == host && run.started >= from && run.started < to) {
            starts.push_back(run.started.milliseconds);
        }
    }
    std::size_t most = 0;
    for (auto first = starts.begin(); first != starts.end(); ++first) {
        most =
            std::max(most, static_cast<std::size_t>(std::ranges::upper_bound(starts, *first + 1000) - first));
    }
    return most;
}

std::size_t runs_at(simulated_fleet const& fleet, std::string const& host, time_point from) {
    return static_cast<std::size_t>(std::ranges::count_if(
        fleet.runs(), [&](target_run const& run) { return run.host == host && run.started >= from; }));
}

class steady_load {
public:
    steady_load(simulated_fleet& wanted, double per_second) : fleet(wanted), interval{1000 / per_second} {}

    void run_for(duration span) {
        this->fleet.run_for(span, [this] { this->send_due(); });
    }
    std::size_t count_with(result_code code) const {
        return static_cast<std::size_t>(std::ranges::count_if(this->requests, [&](std::string const& id) {
            return this->fleet.answers().at(id).code == code;
        }));
    }
    std::size_t served() const {
        return static_cast<std::size_t>(std::ranges::count_if(this->requests, [&](std::string const& id) {
            return this->fleet.answers().at(id).result == outcome::ran;
        }));
    }

    std::vector<std::string> requests;

private:
    void send_due() {
        while (this->next <= this->fleet.now()) {
            auto const hosts = this->fleet.hosts();
            auto const id = this->fleet.send_request(hosts.at(this->count++ % hosts.size()), "/front/read");
            if (!id.empty()) {
                this->requests.push_back(id);
            }
            this->next = std::max(this->next, this->fleet.now() - duration{50}) + this->interval;
        }
    }

    simulated_fleet& fleet;
    duration interval;
    time_point next;
    std::size_t count{0};
};

/// The target becomes cold under the same id: a new start, which the host list tells.
void restart_target(simulated_fleet& fleet, std::string const& host, std::uint64_t started_ms,
                    double warm_up_ms) {
    fleet.set_target_cold(host, cold_span);
    auto hosts = fleet.listed_hosts();
    auto const entry = std::ranges::find(hosts, host, &listed_host::host);
    entry->started_ms = started_ms;
    entry->warm_up_ms = warm_up_ms;
    fleet.publish_hosts(std::move(hosts));
}

} // namespace

TEST_CASE(
    "a target that starts again under its id is sent no more than its cold rate, and the rest is served") {
    simulated_fleet fleet(one_service());
    steady_load load(fleet, 200);
    auto const cold = fleet.hosts().front();
    load.run_for(duration{3000});
    load.requests.clear();
    restart_target(fleet, cold, 1'700'000'000'000, cold_span.milliseconds);
    fleet.run_for(duration{5});
    auto const from = fleet.now();
    load.run_for(cold_span);
    CHECK(most_runs_in_a_second(fleet, cold, from, fleet.now()) <= allowed_in_a_second);
    // What was sent in the second before counts as well, so that the first one stays without requests.
    CHECK(runs_at(fleet, cold, from) > 24);
    // Three targets have room for all: next to none may be refused.
    fleet.run_for(duration{1000});
    CHECK(load.served() >= load.requests.size() * 99 / 100);
    load.run_for(duration{1500});
    auto const warm = fleet.now();
    load.run_for(duration{2000});
    CHECK(runs_at(fleet, cold, warm) > 60);
}

// The process beside a cold target knows nothing of it after a restart.
TEST_CASE("a restart of the host beside a cold target does not raise what the target gets") {
    simulated_fleet fleet(one_service());
    steady_load load(fleet, 200);
    auto const cold = fleet.hosts().front();
    load.run_for(duration{3000});
    restart_target(fleet, cold, 1'700'000'000'000, cold_span.milliseconds);
    fleet.run_for(duration{5});
    auto const from = fleet.now();
    load.run_for(duration{800});
    fleet.restart(cold);
    load.run_for(cold_span - duration{805});
    CHECK(most_runs_in_a_second(fleet, cold, from, fleet.now()) <= allowed_in_a_second);
}

// Nobody tells that a target became cold while the host beside it stood still.
TEST_CASE("after a pause of its host a target is taken as cold until it says how long it is") {
    simulated_fleet fleet(one_service());
    steady_load load(fleet, 200);
    auto const cold = fleet.hosts().front();
    load.run_for(duration{3000});
    fleet.pause(cold, duration{2000});
    load.run_for(duration{1990});
    fleet.set_target_cold(cold, duration{2500});
    auto const from = fleet.now();
    load.run_for(duration{2500});
    CHECK(most_runs_in_a_second(fleet, cold, from, fleet.now()) <= allowed_in_a_second);
    load.run_for(duration{2000});
    auto const warm = fleet.now();
    load.run_for(duration{2000});
    CHECK(runs_at(fleet, cold, warm) > 60);
}

// The same list is applied again whenever another entry changes.
TEST_CASE("a list that is applied again does not make a target cold for longer") {
    simulated_fleet fleet(one_service());
    steady_load load(fleet, 200);
    auto const cold = fleet.hosts().front();
    load.run_for(duration{3000});
    restart_target(fleet, cold, 1'700'000'000'000, cold_span.milliseconds);
    for (int count = 0; count < 8; ++count) {
        load.run_for(duration{500});
        fleet.publish_hosts(fleet.listed_hosts());
    }
    load.run_for(duration{1000});
    auto const warm = fleet.now();
    load.run_for(duration{2000});
    CHECK(runs_at(fleet, cold, warm) > 60);
}

// All targets of a service come back together: who is refused knows that the targets are cold, and that
// nothing ran.
TEST_CASE("when all targets of a service are cold, callers are told so, and the rest fits their pace") {
    simulated_fleet fleet(one_service());
    steady_load load(fleet, 300);
    load.run_for(duration{2000});
    load.requests.clear();
    for (auto const& host : fleet.hosts()) {
        restart_target(fleet, host, 1'700'000'000'000, cold_span.milliseconds);
    }
    fleet.run_for(duration{5});
    auto const from = fleet.now();
    load.run_for(cold_span - duration{10});
    for (auto const& host : fleet.hosts()) {
        CHECK(most_runs_in_a_second(fleet, host, from, fleet.now()) <= allowed_in_a_second);
        // What was sent in the second before counts as well.
        CHECK(runs_at(fleet, host, from) > 16);
    }
    fleet.run_for(duration{1000});
    CHECK(load.count_with(result_code::target_cold) > 100);
    for (auto const& id : load.requests) {
        auto const& answer = fleet.answers().at(id);
        CHECK((answer.code != result_code::target_cold || answer.result == outcome::not_run));
        CHECK((answer.code != result_code::target_cold || answer.retry_after_ms > 0));
    }
}

// An attempt was lost with its host, and the next one was refused: only the latter has not run.
TEST_CASE("a request that may have run is not reported as not run when its next attempt is refused") {
    auto plan = one_service();
    plan.configuration["services"]["front"]["cold_rate"] = {.value = 1.0};
    plan.cold = {};
    simulated_fleet fleet(plan);
    steady_load load(fleet, 400);
    load.run_for(duration{5000});
    load.requests.clear();
    auto const hosts = fleet.hosts();
    for (std::size_t index = 1; index < hosts.size(); ++index) {
        restart_target(fleet, hosts[index], 1'700'000'000'000, cold_span.milliseconds);
    }
    load.run_for(duration{600});
    fleet.kill(hosts[0]);
    fleet.run_for(duration{1000});
    std::size_t refused = 0;
    for (auto const& id : load.requests) {
        if (!fleet.answers().contains(id) || fleet.answers().at(id).result != outcome::not_run) {
            continue;
        }
        ++refused;
        CHECK(std::ranges::find(fleet.runs(), id, &target_run::request_id) == fleet.runs().end());
    }
    CHECK(refused > 0);
}
