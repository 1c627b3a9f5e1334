/// Targets that state a limit of requests per second, or that they are leaving, on a fleet of node cores in
/// simulated time.

#include "node/simulated_fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace caraway;
using namespace caraway::simulation;

namespace {

constexpr duration window{4000};
/// The platform allows this multiple of the limit in any window, and a few requests more.
constexpr double allowed_factor = 1.5;
constexpr double allowed_extra = 5;

/// Four hosts of one service in two failure domains.
fleet_plan one_service(duration service_time = duration{50}) {
    return make_plan({{.name = "front", .hosts = 4, .slots = 50, .service_time = service_time}});
}

/// The most requests that began at the host's target in any window within the span.
std::size_t most_runs_in_window(simulated_fleet const& fleet, std::string const& host, time_point from) {
    std::vector<double> starts;
    for (auto const& run : fleet.runs()) {
        if (run.host == host && run.started >= from) {
            starts.push_back(run.started.milliseconds);
        }
    }
    std::size_t most = 0;
    for (auto first = starts.begin(); first != starts.end(); ++first) {
        auto const end = std::ranges::upper_bound(starts, *first + window.milliseconds);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

double allowed_runs(double limit) {
    return allowed_factor * limit * window.seconds() + allowed_extra;
}

std::size_t runs_at(simulated_fleet const& fleet, std::string const& host, time_point from) {
    return static_cast<std::size_t>(std::ranges::count_if(
        fleet.runs(), [&](target_run const& run) { return run.host == host && run.started >= from; }));
}

std::size_t served(simulated_fleet const& fleet, std::vector<std::string> const& requests) {
    return static_cast<std::size_t>(std::ranges::count_if(
        requests, [&fleet](std::string const& id) { return fleet.answers().at(id).result == outcome::ran; }));
}

/// Sends a request to each host in turn.
class steady_load {
public:
    steady_load(simulated_fleet& wanted, double per_second) : fleet(wanted), interval{1000 / per_second} {}

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

    std::vector<std::string> requests;

private:
    simulated_fleet& fleet;
    duration interval;
    time_point next;
    std::size_t count{0};
};

void run_load(simulated_fleet& fleet, steady_load& load, duration span) {
    fleet.run_for(span, [&load] { load.send_due(); });
}

} // namespace

// A target in need named the rate that it takes, and was sent requests as before: only slots bounded them.
TEST_CASE("a target that states a limit gets no more requests per second than that from all hosts together") {
    simulated_fleet fleet(one_service());
    steady_load load(fleet, 200);
    auto const limited = fleet.hosts().front();
    run_load(fleet, load, duration{2000});
    constexpr double limit = 10;
    fleet.set_target_statement(limited, {.rate_limit = limit});
    run_load(fleet, load, duration{500});
    auto const from = fleet.now();
    run_load(fleet, load, duration{8000});
    CHECK(most_runs_in_window(fleet, limited, from) <= allowed_runs(limit));
}

// The process beside the target forgets the limit when it restarts, while other hosts have passed answers on
// that named it and go on sending.
TEST_CASE("a restart of the host beside a target does not lift the limit that the target has stated") {
    // The slots would be full before the first answer states the limit again.
    simulated_fleet fleet(one_service(duration{800}));
    steady_load load(fleet, 200);
    auto const limited = fleet.hosts().front();
    constexpr double limit = 2;
    fleet.set_target_statement(limited, {.rate_limit = limit});
    run_load(fleet, load, duration{4000});
    for (int restart = 0; restart < 3; ++restart) {
        auto const from = fleet.now();
        fleet.restart(limited);
        run_load(fleet, load, duration{4000});
        CHECK(most_runs_in_window(fleet, limited, from) <= allowed_runs(limit));
        CHECK(runs_at(fleet, limited, from) > 0);
    }
}

// With one target limited the others have room for all requests: none may be refused for the limit.
TEST_CASE("what a limited target does not accept goes to the other targets of its service") {
    simulated_fleet fleet(one_service());
    steady_load load(fleet, 200);
    fleet.set_target_statement(fleet.hosts().front(), {.rate_limit = 8});
    run_load(fleet, load, duration{2000});
    load.requests.clear();
    run_load(fleet, load, duration{5000});
    fleet.run_for(duration{1000});
    REQUIRE(load.requests.size() > 900);
    CHECK(served(fleet, load.requests) >= load.requests.size() * 99 / 100);
}

// Callers of a service whose targets are all limited waited for the age limit of the queue and were told a
// fixed time.
TEST_CASE("when all targets are limited, callers are told at once that nothing ran and when to return") {
    simulated_fleet fleet(one_service());
    for (auto const& host : fleet.hosts()) {
        fleet.set_target_statement(host, {.rate_limit = 2});
    }
    steady_load load(fleet, 100);
    run_load(fleet, load, duration{2000});
    load.requests.clear();
    run_load(fleet, load, duration{3000});
    fleet.run_for(duration{1000});
    std::size_t refused = 0;
    double latest_return_ms = 0;
    for (auto const& id : load.requests) {
        auto const& answer = fleet.answers().at(id);
        REQUIRE(answer.answered);
        if (answer.code != result_code::target_limited) {
            continue;
        }
        ++refused;
        latest_return_ms = std::max(latest_return_ms, answer.retry_after_ms);
        CHECK(answer.result == outcome::not_run);
        CHECK(answer.status == 503);
        CHECK(answer.retry_after_ms > 0);
    }
    CHECK(refused > 0);
    // A target that accepts two requests per second can't take back all at the same moment.
    CHECK(latest_return_ms > 1000);
}

// Only an answer without the field ends a limit; a target that accepts nothing gives none unless it is tried.
TEST_CASE("the end of a limit is noticed, also of one that allows no request") {
    for (double const limit : {0.0, 0.2, 6.0}) {
        CAPTURE(limit);
        simulated_fleet fleet(one_service());
        steady_load load(fleet, 200);
        auto const limited = fleet.hosts().front();
        fleet.set_target_statement(limited, {.rate_limit = limit});
        run_load(fleet, load, duration{1000});
        auto const from = fleet.now();
        run_load(fleet, load, duration{8000});
        CHECK(most_runs_in_window(fleet, limited, from) <= allowed_runs(limit));
        fleet.set_target_statement(limited, {});
        run_load(fleet, load, duration{6000});
        auto const ended = fleet.now();
        run_load(fleet, load, duration{2000});
        // A fair part of 200 requests per second over four targets is 100 in two seconds.
        CHECK(runs_at(fleet, limited, ended) > 50);
    }
}

// A target that started again under its former id has stated nothing, whatever the earlier one did.
TEST_CASE("a new incarnation of a target does not inherit the limit of the one before it") {
    simulated_fleet fleet(one_service());
    steady_load load(fleet, 200);
    auto const limited = fleet.hosts().front();
    fleet.set_target_statement(limited, {.rate_limit = 0});
    run_load(fleet, load, duration{2000});
    fleet.set_target_statement(limited, {});
    auto hosts = fleet.listed_hosts();
    std::ranges::find(hosts, limited, &listed_host::host)->started_ms = 1'700'000'000'000;
    fleet.publish_hosts(std::move(hosts));
    run_load(fleet, load, duration{500});
    auto const from = fleet.now();
    run_load(fleet, load, duration{2000});
    CHECK(runs_at(fleet, limited, from) > 50);
}
