/// Rate and burst over the whole fleet are never exceeded under any fault, and unnecessary rejections are
/// rare.

#include "membership/rate_simulation.hpp"
#include "support/property.hpp"

#include <algorithm>
#include <ostream>
#include <tuple>
#include <vector>

namespace {

using namespace caraway;
using namespace caraway::tests;

constexpr rate_limit limit{200, 100};
constexpr int conservation_runs = 400;
constexpr double startup_ms = 4000;
constexpr double rounding =
    1e-3; ///< Requests; the clock steps of the simulation are not exact binary fractions.

struct planned_action {
    simulation_action action{simulation_action::restart};
    std::uint64_t choice{0};
    int pause_ms{0};
    double demand{0}; ///< During the pause, as a multiple of the rate.
};

/// Lets RapidCheck print counterexamples.
std::ostream& operator<<(std::ostream& stream, planned_action const& step) {
    return stream << "{action " << static_cast<int>(step.action) << ", choice " << step.choice << ", then "
                  << step.pause_ms << " ms at " << step.demand << " times the rate}";
}

rc::Gen<std::vector<planned_action>> any_plan() {
    auto const action = rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, simulation_action_count), rc::gen::inRange<std::uint64_t>(0, 1000),
                       rc::gen::inRange(10, 4000), rc::gen::element(0.0, 0.3, 1.0, 5.0)),
        [](std::tuple<int, std::uint64_t, int, double> const& parts) {
            return planned_action{static_cast<simulation_action>(std::get<0>(parts)), std::get<1>(parts),
                                  std::get<2>(parts), std::get<3>(parts)};
        });
    return rc::gen::container<std::vector<planned_action>>(action);
}

} // namespace

TEST_CASE("no window admits more than rate and burst under any fault") {
    check_property(
        "conservation",
        [] {
            auto const seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
            auto const plan = *any_plan();
            simulation_faults const faults{*rc::gen::inRange(0, 20) / 100.0, *rc::gen::inRange(0, 20) / 100.0,
                                           *rc::gen::inRange(0, 10) / 100.0,
                                           *rc::gen::inRange(1, 1000) * 1.0};
            auto const total =
                *rc::gen::element(rate_limit{200, 100}, rate_limit{20, 100}, rate_limit{400, 50});
            rate_simulation fleet(*rc::gen::inRange(1, 4), *rc::gen::inRange(1, 5), total, faults, seed);
            fleet.run(startup_ms, 0);
            for (auto const& step : plan) {
                fleet.apply(step.action, step.choice);
                fleet.run(step.pause_ms, step.demand * total.rate);
            }
            fleet.apply(simulation_action::resume, 0);
            fleet.apply(simulation_action::heal, 0);
            fleet.run(startup_ms, 5 * total.rate);
            RC_ASSERT(fleet.admission_excess() <= rounding);
            RC_ASSERT(fleet.max_token_excess() <= rounding);
            RC_ASSERT(fleet.max_owner_count() <= 1);
        },
        conservation_runs);
}

TEST_CASE("an organisation within its rate is not rejected, even if all its callers use one entry node") {
    for (int const entry : {-1, 0}) {
        rate_simulation fleet(3, 4, limit, {}, 7);
        fleet.run(startup_ms, 0);
        REQUIRE(fleet.all_past_takeover_delay());
        fleet.run(2000, 0);
        fleet.run(30'000, 0.8 * limit.rate, entry);
        double const offered = static_cast<double>(fleet.admitted() + fleet.refused());
        INFO("refused " << fleet.refused() << " of " << offered);
        CHECK(static_cast<double>(fleet.refused()) <= 0.001 * offered);
        CHECK(fleet.admission_excess() <= rounding);
    }
}

TEST_CASE("an organisation over its rate gets its rate") {
    rate_simulation fleet(3, 4, limit, {}, 11);
    fleet.run(startup_ms, 0);
    fleet.run(20'000, 5 * limit.rate);
    CHECK(fleet.admission_excess() <= rounding);
    CHECK(static_cast<double>(fleet.admitted()) >= 0.9 * limit.rate * 20);
}

TEST_CASE("a partitioned failure domain keeps serving its share") {
    rate_simulation fleet(3, 3, limit, {}, 13);
    fleet.run(startup_ms, 0);
    fleet.apply(simulation_action::partition, 0);
    auto const before = fleet.admitted();
    auto const refused_before = fleet.refused();
    fleet.run(10'000, 0.25 * limit.rate, 0);
    auto const served = static_cast<double>(fleet.admitted() - before);
    auto const refused = static_cast<double>(fleet.refused() - refused_before);
    INFO("served " << served << ", refused " << refused);
    CHECK(served >= 0.8 * 0.25 * limit.rate * 10); // The offered load is random.
    CHECK(refused <= 0.01 * (served + refused));
    CHECK(fleet.admission_excess() <= rounding);
}

TEST_CASE("a host that joins or restarts interrupts no pool that it does not take over") {
    // The first answers of a started process must not be mistaken for those of a host that has removed the
    // asking one: all hosts of the domain would void their pools.
    for (auto const change : {simulation_action::join, simulation_action::restart}) {
        rate_simulation fleet(1, 12, limit, {}, 17);
        fleet.run(startup_ms, 0);
        fleet.run(2000, 0);
        fleet.run(4000, 0.6 * limit.rate);
        auto const refused_before = fleet.refused();
        fleet.apply(change, 3);
        fleet.run(8000, 0.6 * limit.rate);
        INFO("refused " << fleet.refused() - refused_before);
        CHECK(fleet.refused() == refused_before);
        CHECK(fleet.admission_excess() <= rounding);
    }
}

namespace {

constexpr rate_tolerance tolerated{.window = duration{5000}, .overage = 0.25, .slack = 20};
/// How far below its limit an organisation usually is.
constexpr double usual_load = 1 / 1.6;

/// Checks that at most one request in a thousand was refused that one token bucket for the whole fleet
/// admits.
void check_serves_like_one_bucket(rate_simulation const& fleet) {
    auto const offered = static_cast<double>(fleet.admitted() + fleet.refused());
    INFO("refused " << fleet.refused() << " of " << offered << ", one bucket refuses "
                    << fleet.ideal_refusals() << ", messages " << fleet.messages());
    CHECK(static_cast<double>(fleet.refused()) <=
          static_cast<double>(fleet.ideal_refusals()) + 0.001 * offered);
}

} // namespace

TEST_CASE("with a tolerance no window admits more than it allows under any fault") {
    check_property(
        "tolerated conservation",
        [] {
            auto const seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
            auto const plan = *any_plan();
            simulation_faults const faults{*rc::gen::inRange(0, 20) / 100.0, *rc::gen::inRange(0, 20) / 100.0,
                                           *rc::gen::inRange(0, 10) / 100.0,
                                           *rc::gen::inRange(1, 1000) * 1.0};
            rate_limit const total{*rc::gen::inRange(1, 400) * 1.0, *rc::gen::inRange(1, 400) * 1.0};
            rate_simulation fleet(*rc::gen::inRange(1, 8), *rc::gen::inRange(1, 5), total, faults, seed,
                                  tolerated);
            fleet.run(1000, 0);
            for (auto const& step : plan) {
                fleet.apply(step.action, step.choice);
                fleet.run(step.pause_ms, step.demand * total.rate);
            }
            fleet.apply(simulation_action::resume, 0);
            fleet.apply(simulation_action::heal, 0);
            fleet.run(startup_ms, 5 * total.rate);
            RC_ASSERT(fleet.window_excess() <= rounding);
        },
        conservation_runs);
}

TEST_CASE("many small organisations on many hosts: each is served its usual demand") {
    for (double const rate : {0.8, 3.0, 12.0, 60.0}) {
        rate_simulation fleet(6, 16, {rate, std::max(2.0, rate)}, {}, 23, tolerated);
        fleet.run(2000, 0);
        fleet.run(60'000, usual_load * rate);
        check_serves_like_one_bucket(fleet);
    }
}

TEST_CASE("all callers in one failure domain or on one host: a small organisation is served") {
    for (double const rate : {3.0, 60.0}) {
        rate_simulation fleet(6, 16, {rate, std::max(2.0, rate)}, {}, 29, tolerated);
        fleet.run(2000, 0);
        fleet.run_in_domain(30'000, usual_load * rate, "d4");
        fleet.run(30'000, usual_load * rate, 7);
        check_serves_like_one_bucket(fleet);
    }
}

TEST_CASE("restart of all hosts: an organisation is served its usual demand from half a second on") {
    for (double const rate : {3.0, 12.0, 72.0}) {
        double admitted = 0;
        double refused_inside_rate = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            rate_simulation fleet(4, 5, {rate, std::max(2.0, rate)}, {}, seed, tolerated);
            fleet.run(10'000, 0);
            fleet.apply(simulation_action::restart_all, 0);
            fleet.run(500, 0);
            fleet.run(3000, usual_load * rate);
            admitted += static_cast<double>(fleet.admitted());
            refused_inside_rate += std::max(0.0, static_cast<double>(fleet.refused()) -
                                                     static_cast<double>(fleet.ideal_refusals()));
            CHECK(fleet.window_excess() <= rounding);
        }
        INFO("rate " << rate << ", admitted " << admitted << ", refused inside the rate "
                     << refused_inside_rate);
        CHECK(admitted >= 0.95 * (admitted + refused_inside_rate));
    }
}

TEST_CASE("a roll of restarts and a joiner add no refusals to an organisation at its usual demand") {
    for (double const rate : {12.0, 72.0}) {
        rate_simulation fleet(4, 5, {rate, rate}, {}, 37, tolerated);
        fleet.run(2000, 0);
        for (std::uint64_t host = 0; host < 20; ++host) {
            fleet.apply(simulation_action::restart, host);
            fleet.run(700, usual_load * rate);
        }
        fleet.apply(simulation_action::join, 2);
        fleet.run(4000, usual_load * rate);
        auto const offered = fleet.admitted() + fleet.refused();
        INFO("rate " << rate << ", refused " << fleet.refused() << " of " << offered);
        CHECK(static_cast<double>(fleet.refused()) <= 0.01 * static_cast<double>(offered));
        CHECK(fleet.window_excess() <= rounding);
    }
}

TEST_CASE("a failure domain that is cut off serves a small organisation a floor from its reserve") {
    std::vector<std::string> const domains{"d0", "d1", "d2", "d3", "d4", "d5"};
    rate_simulation fleet(6, 4, {3, 6}, {}, 41, tolerated);
    fleet.run(2000, 0);
    fleet.apply(simulation_action::partition, 9); // A host of d2.
    fleet.run(2000, 0);
    auto const admitted_before = fleet.admitted();
    // The domain's part of the tolerance, of which the reserve refills a fraction.
    double const reserve = plan_rate(tested_organisation, 3, 6, domains, 24, tolerated).reserve.rate;
    REQUIRE(reserve >= 0.3);
    fleet.run_in_domain(30'000, 5 * reserve, "d2");
    auto const admitted = static_cast<double>(fleet.admitted() - admitted_before);
    INFO("admitted " << admitted);
    CHECK(admitted >= 0.9 * reserve * 30);
    CHECK(fleet.window_excess() <= rounding);
}

TEST_CASE("a third of the hosts loses its listed target: an organisation with a surge is refused nothing") {
    for (double const rate : {22.0, 81.0, 186.0}) {
        rate_simulation fleet(3, 7, {rate, rate}, {}, 43, tolerated);
        fleet.run(6000, usual_load * rate);
        for (std::uint64_t const host : {0, 1, 7, 8, 14, 15, 16, 17}) {
            fleet.apply(simulation_action::unlist_running, host);
            fleet.run(150, usual_load * rate);
        }
        fleet.run(3000, 0.85 * rate);
        fleet.apply(simulation_action::relist, 0);
        fleet.run(3000, usual_load * rate);
        check_serves_like_one_bucket(fleet);
        CHECK(fleet.window_excess() <= rounding);
    }
}

TEST_CASE("a refusal names the pools that were asked, and when they have a token again") {
    rate_lease_manager manager("h", "d", 1, {.tolerates_takeover = true}, time_point{0});
    manager.update_hosts({{"d", {"h"}}}, time_point{0});
    manager.configure({{"org", {.rate = 1, .burst = 1, .pool_domains = {"d"}}}}, time_point{0});
    manager.run_periodic_tasks(time_point{0}, {});
    CHECK_FALSE(manager.try_admit("org", 0, time_point{100}));
    auto const pools = manager.last_shortage("org");
    REQUIRE(pools.size() == 1);
    CHECK(pools[0].host == "h");
    CHECK(pools[0].reason == pool_shortage::new_pool);
    CHECK(pools[0].next_token.milliseconds == doctest::Approx(900));
}
