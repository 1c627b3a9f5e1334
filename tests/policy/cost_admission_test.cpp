/// Admission by cost: a narrow leaf service under routes that fan out to it.

#include "policy/answered_fraction.hpp"
#include "policy/call_cost_estimator.hpp"
#include "policy/goodput_limiter.hpp"
#include "policy/service_room.hpp"
#include "policy/service_room_view.hpp"
#include "policy/work_queue.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace caraway;

namespace {

struct offered_route {
    std::string name;
    double per_second;
    double calls; ///< Of "leaf" for each run, evenly over its time.
};

constexpr double run_ms = 300;

/// Plays the routes at one host without telling which run makes a call.
void play(call_cost_estimator& estimator, std::vector<offered_route> const& routes, double& now, double span,
          std::mt19937_64& random) {
    struct run {
        std::string route;
        double end;
        double next_call;
        double gap;
    };
    std::vector<run> running;
    std::uniform_real_distribution<double> unit;
    for (double const end = now + span; now < end; now += 1) {
        for (auto const& route : routes) {
            if (unit(random) < route.per_second / 1000) {
                estimator.record_start(route.name, {now});
                double const gap = route.calls > 0 ? run_ms / route.calls : 1e9;
                running.push_back({route.name, now + run_ms, now + gap / 2, gap});
            }
        }
        for (auto& entry : running) {
            for (; entry.next_call <= now; entry.next_call += entry.gap) {
                estimator.record_call("leaf", "", {now});
            }
        }
        std::erase_if(running, [&](run const& entry) {
            bool const is_over = now >= entry.end;
            if (is_over) {
                estimator.record_end(entry.route, {run_ms}, {now});
            }
            return is_over;
        });
        estimator.update_if_due({now});
    }
    for (auto const& entry : running) {
        estimator.record_end(entry.route, {run_ms}, {now});
    }
}

} // namespace

TEST_CASE("calls without a parent are attributed to the routes that make them") {
    call_cost_estimator estimator;
    std::mt19937_64 random(1);
    double now = 1000;
    play(estimator, {{"wide", 100, 8}, {"narrow", 100, 2}}, now, 6000, random);
    CHECK(estimator.calls_per_run("wide", "leaf") == doctest::Approx(8).epsilon(0.2));
    CHECK(estimator.slot_time("wide").milliseconds == doctest::Approx(run_ms));
}

TEST_CASE("a route that makes no calls is not charged with those of one that it runs beside") {
    double charged = 0;
    double wide = 0;
    for (unsigned seed = 1; seed <= 8; ++seed) {
        call_cost_estimator estimator;
        std::mt19937_64 random(seed);
        double now = 1000;
        play(estimator, {{"wide", 200, 4}, {"silent", 12, 0}}, now, 5000, random);
        charged += estimator.calls_per_run("silent", "leaf") / 8;
        wide += estimator.calls_per_run("wide", "leaf") / 8;
    }
    CHECK(charged < 0.4);
    CHECK(wide == doctest::Approx(4).epsilon(0.1));
}

TEST_CASE("a route that makes other calls than before is learnt within three seconds") {
    call_cost_estimator estimator;
    std::mt19937_64 random(1);
    double now = 1000;
    play(estimator, {{"wide", 60, 2}}, now, 5000, random);
    CHECK(estimator.calls_per_run("wide", "leaf") == doctest::Approx(2).epsilon(0.2));
    play(estimator, {{"wide", 60, 8}}, now, 3500, random);
    CHECK(estimator.calls_per_run("wide", "leaf") == doctest::Approx(8).epsilon(0.2));
}

TEST_CASE("a call is charged to the route that certainly made it") {
    call_cost_estimator estimator;
    for (int count = 0; count < 20; ++count) {
        double const now = 1000 + count * 100;
        estimator.record_start("caller", {now});
        estimator.record_start("other", {now});
        estimator.record_call("leaf", "caller", {now + 20});
        estimator.record_end("caller", {50}, {now + 50});
        estimator.record_end("other", {50}, {now + 50});
        estimator.update_if_due({now + 60});
    }
    CHECK(estimator.calls_per_run("caller", "leaf") == doctest::Approx(1).epsilon(0.1));
    CHECK(estimator.calls_per_run("other", "leaf") == doctest::Approx(0));
    estimator.record_start("caller", {5000});
    CHECK(estimator.draw_parent_route("leaf", 0.5) == "caller");
}

TEST_CASE("a few urgent requests beside many wide ones at one leaf keep their share") {
    service_room room;
    for (int window = 0; window < 50; ++window) {
        // Offered: 10 slots of critical work and 190 of the next class, of 100.
        room.record_arrival({0, {1000}, 1});
        double const admitted = room.fractions()[1];
        room.record_arrival({1, {19'000 * admitted}, 1 / admitted});
        room.record_queue(admitted > 0.5 ? 20 : 0);
        room.update_if_due(100, {100}, {100.0 * window});
    }
    CHECK(room.is_limiting());
    CHECK(room.fractions()[0] == 1);
    CHECK(room.fractions()[1] == doctest::Approx((95.0 - 10) / 190).epsilon(0.15));
}

TEST_CASE("three hot organisations and a burst of one kind at a leaf leave the others their share") {
    auto const others_share = [](double hot, double burst) {
        service_room room;
        service_room_view view;
        for (int window = 0; window < 100; ++window) {
            double const now = 50.0 * window;
            for (int index = 0; index < 20; ++index) {
                auto const organisation = "o" + std::to_string(index);
                // Dear requests, and cheap ones of which the burst consists.
                double const dear = index < 3 ? 600 * hot : 600;
                double const cheap = index == 3 ? 40 * burst : 40;
                auto const told = view.bottleneck_of("wide", "leaf", organisation, 1, {now}).fraction;
                room.record_arrival({1, {dear * told}, 1 / told, organisation});
                room.record_arrival({1, {cheap * told}, 1 / told, organisation});
            }
            room.record_queue(30);
            room.update_if_due(100, {50}, {now});
            view.update_room("leaf", "a", {room.fractions(), 1, room.named_fractions()}, {0}, {now});
        }
        return view.bottleneck_of("wide", "leaf", "o10", 1, {5000}).fraction;
    };
    double const before = others_share(1, 1);
    CHECK(before < 0.6);
    CHECK(others_share(6, 1) == doctest::Approx(before).epsilon(0.02));
    CHECK(others_share(1, 50) == doctest::Approx(before).epsilon(0.02));
    CHECK(others_share(6, 50) == doctest::Approx(before).epsilon(0.02));
}

TEST_CASE("a leaf that loses half of its targets limits the offered work, and recovers with them") {
    service_room room;
    double now = 0;
    auto const offer = [&](double slots, int windows) {
        for (int window = 0; window < windows; ++window, now += 100) {
            double const admitted = room.fractions()[1];
            room.record_arrival({1, {8000 * admitted}, 1 / admitted});
            // Requests of 100 ms; what is beyond the slots waits for a short time.
            room.record_queue(80 * admitted > slots ? 20 : 0);
            room.update_if_due(slots, {100}, {now});
        }
    };
    offer(100, 20);
    CHECK_FALSE(room.is_limiting());
    offer(50, 20);
    CHECK(room.fractions()[1] * 80 == doctest::Approx(50).epsilon(0.15));
    offer(100, 20);
    CHECK(room.fractions()[1] == 1);
}

TEST_CASE("work that is waiting without more demand than room does not limit admission") {
    service_room room;
    for (int window = 0; window < 20; ++window) {
        room.record_arrival({1, {4000}, 1});
        room.record_queue(10);
        room.update_if_due(100, {100}, {100.0 * window});
    }
    CHECK_FALSE(room.is_limiting());
}

TEST_CASE("a route is let in at the least of the services that it takes time of") {
    service_room_view view;
    view.update_costs("wide", {{"front", 200}, {"leaf", 360}, {"side", 1}}, {0});
    view.update_room("leaf", "a", {{1, 0.4, 0}}, {0}, {0});
    view.update_room("side", "b", {{1, 0.1, 0}}, {0}, {0});
    auto const least = view.bottleneck_of("wide", "front", "", 1, {100});
    CHECK(least.service == "leaf");
    CHECK(least.fraction == doctest::Approx(0.4));
    CHECK(least.cost == doctest::Approx(360));
    CHECK(view.bottleneck_of("unknown", "front", "", 1, {100}).fraction == 1);
    CHECK(view.bottleneck_of("unknown", "leaf", "", 1, {100}).fraction == doctest::Approx(0.4));
}

TEST_CASE("reports that have become stale let in more and more, then all") {
    service_room_view view;
    view.update_room("leaf", "a", {{1, 0.1, 0.1}}, {0}, {0});
    CHECK(view.room_of("leaf", {900}).fractions[1] == doctest::Approx(0.1));
    CHECK(view.room_of("leaf", {1800}).fractions[1] == doctest::Approx(0.4));
    CHECK(view.room_of("leaf", {2500}).fractions[1] == 1);
    // A stale report that arrives late does not replace a newer one.
    view.update_room("leaf", "a", {{1, 1, 1}}, {0}, {3000});
    view.update_room("leaf", "a", {{1, 0.1, 0.1}}, {2000}, {3100});
    CHECK(view.room_of("leaf", {3100}).fractions[1] == 1);
    view.remove_expired({20'000});
    CHECK_FALSE(view.is_newsworthy("leaf", {20'000}));
}

TEST_CASE("routes below which a service refuses are held back to probes until it accepts again") {
    service_room_view view;
    goodput_limiter goodput;
    view.update_costs("wide", {{"front", 200}, {"leaf", 360}}, {0});
    view.update_costs("direct", {{"side", 140}}, {0});
    view.update_room("leaf", "a", {{1, 1, 1}, 0.45}, {0}, {0});
    for (int run = 0; run < 20; ++run) { // Eight calls of which each is refused at 0.55.
        goodput.record_outcome("wide", false, {50.0 * run});
    }
    CHECK(view.is_newsworthy("leaf", {100}));
    CHECK(view.uses_refusing_service("wide", "front", {1000}));
    CHECK_FALSE(view.uses_refusing_service("direct", "side", {1000}));
    CHECK(goodput.probing_fraction("wide") <= 0.06);
    // A probe that ends well by luck does not let the others in.
    goodput.record_outcome("wide", true, {1100});
    CHECK(goodput.probing_fraction("wide") < 0.4);
    view.update_room("leaf", "a", {{1, 1, 1}, 1}, {0}, {1500});
    CHECK_FALSE(view.uses_refusing_service("wide", "front", {1500}));
    // Nor do reports that have become stale hold it back.
    view.update_room("leaf", "a", {{1, 1, 1}, 0.45}, {0}, {2000});
    CHECK(view.uses_refusing_service("wide", "front", {3000}));
    CHECK_FALSE(view.uses_refusing_service("wide", "front", {4100}));
}

TEST_CASE("a target that refuses is known within half a second, and that it accepts again") {
    answered_fraction answered;
    for (int count = 0; count < 100; ++count) {
        answered.record(true, {10.0 * count});
    }
    CHECK(answered.value({1000}) == doctest::Approx(1));
    for (int count = 0; count < 50; ++count) {
        answered.record(count % 2 == 0, {1000 + 10.0 * count});
    }
    CHECK(service_room_view::is_refusing(answered.value({1500})));
    for (int count = 0; count < 60; ++count) {
        answered.record(true, {1500 + 10.0 * count});
    }
    CHECK_FALSE(service_room_view::is_refusing(answered.value({2100})));
    CHECK(answered.value({10'000}) == 1);
}

TEST_CASE("runs that fail midway do not make their route cheaper") {
    call_cost_estimator estimator;
    std::mt19937_64 random(1);
    double now = 1000;
    play(estimator, {{"wide", 60, 8}}, now, 4000, random);
    double const before = estimator.calls_per_run("wide", "leaf");
    for (int step = 0; step < 8; ++step) {
        estimator.discard_window({now});
        estimator.record_start("wide", {now});
        estimator.record_call("leaf", "", {now});
        estimator.record_end("wide", {run_ms}, {now + 50});
        now += 100;
    }
    estimator.discard_window({now});
    play(estimator, {{"wide", 60, 8}}, now, 500, random);
    CHECK(estimator.calls_per_run("wide", "leaf") >= 0.5 * before);
}

TEST_CASE("a critical root request goes before nested calls where that is chosen") {
    for (bool const critical_first : {false, true}) {
        work_queue queue(8);
        queue.set_critical_first(critical_first);
        queue.push({.id = 1, .is_nested = true, .priority = 2, .deadline = {1e6}});
        queue.push({.id = 2, .is_nested = false, .priority = 0, .deadline = {1e6}});
        std::vector<std::uint64_t> expired;
        CHECK(queue.pop({1}, expired) == (critical_first ? 2 : 1));
    }
}
