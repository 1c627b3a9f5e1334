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
fleet_plan one_service() {
    return make_plan({{.name = "front", .hosts = 4, .slots = 50, .service_time = duration{50}}});
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

/// Sends a request to each host in turn.
class steady_load {
public:
    steady_load(simulated_fleet& wanted, double per_second) : fleet(wanted), interval(1000 / per_second) {}

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
