/// A saturated host admits priority classes in order, and organisations by max-min fairness.

#include "policy/admission_controller.hpp"
#include "policy/admission_view.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace caraway;

namespace {

struct offered_load {
    std::string organisation;
    std::size_t priority;
    double per_second;
};

/// Offers the load for ten seconds to a host that completes `capacity` requests per second. Entry nodes apply
/// new admission fractions at once.
void saturate(admission_controller& controller, std::vector<offered_load> const& loads, double capacity,
              double& now) {
    std::vector<double> credit(loads.size(), 0);
    for (double const end = now + 10'000; now < end; now += 10) {
        double arrived = 0;
        for (std::size_t index = 0; index < loads.size(); ++index) {
            auto const& load = loads[index];
            credit[index] +=
                load.per_second * 0.01 * controller.fractions_for(load.organisation).at(load.priority);
            for (; credit[index] >= 1; credit[index] -= 1) {
                controller.record_arrival(load.organisation, load.priority, 1);
                ++arrived;
            }
        }
        double const done = std::min(arrived, capacity * 0.01);
        for (int count = 0; count < static_cast<int>(done); ++count) {
            controller.record_completion();
        }
        controller.record_backlog(arrived > capacity * 0.01);
        controller.update_if_due({now});
    }
}

} // namespace

TEST_CASE("requests of a higher priority class are shed last") {
    admission_controller controller;
    double now = 1;
    saturate(controller, {{"a", 0, 500}, {"a", 1, 1000}, {"a", 2, 2000}}, 1000, now);
    auto const fractions = controller.fractions_for("a");
    CHECK(fractions[0] >= 0.99);
    CHECK(fractions[1] >= 0.3);
    CHECK(fractions[1] <= 0.75);
    CHECK(fractions[2] <= 0.1);
}

TEST_CASE("an organisation that sends five times as much takes no capacity from the others") {
    admission_controller controller;
    double now = 1;
    saturate(controller, {{"big", 1, 5000}, {"a", 1, 300}, {"b", 1, 300}}, 1000, now);
    CHECK(controller.fractions_for("a")[1] >= 0.95);
    CHECK(controller.fractions_for("b")[1] >= 0.95);
    CHECK(controller.fractions_for("big")[1] <= 0.15);
}

TEST_CASE("a host that is no longer saturated admits everything again") {
    admission_controller controller;
    double now = 1;
    saturate(controller, {{"a", 1, 3000}}, 500, now);
    REQUIRE(controller.is_limiting());
    saturate(controller, {{"a", 1, 100}}, 500, now);
    CHECK(controller.fractions_for("a")[1] >= 0.99);
}

TEST_CASE("an entry node applies the lowest fraction on the route and recovers without reports") {
    admission_view view;
    for (int count = 0; count < 40; ++count) {
        view.update("route", "front", "org", {1, 1, 1}, {0});
        view.update("route", "deep", "org", {1, 0.5, 0.1}, {0});
    }
    CHECK(view.min_fraction("route", "org", 2, {1}) == doctest::Approx(0.1).epsilon(0.05));
    CHECK(view.min_fraction("route", "org", 1, {1}) == doctest::Approx(0.5).epsilon(0.05));
    CHECK(view.min_fraction("route", "other", 2, {1}) == 1);
    CHECK(view.min_fraction("route", "org", 2, {3000}) == 1);
}
