/// Admission on routes whose requests miss their deadline, and on routes that fail for other causes.
#include "policy/goodput_limiter.hpp"

#include <doctest/doctest.h>

#include <deque>
#include <random>

using namespace caraway;

namespace {

std::string const route = "r";
constexpr double time_limit_ms = 800;

/// Simulates a first-come, first-served service with `capacity` requests per second. Returns the number of
/// useful answers in `span_ms` at `demand` requests per second.
int useful_answers(double demand, double capacity, double span_ms, bool is_limited) {
    // A generator of its own for admission, so that runs with and without the limiter get the same requests.
    std::mt19937_64 random(5);
    std::mt19937_64 choices(6);
    std::exponential_distribution<double> gap(demand / 1000);
    std::uniform_real_distribution<double> share(0, 1);
    goodput_limiter limiter;
    std::deque<std::pair<double, bool>>
        outcomes; ///< Time of the answer or of the deadline, and whether it was useful.
    double free_at = 0;
    int useful = 0;
    for (double at = gap(random); at < span_ms; at += gap(random)) {
        while (!outcomes.empty() && outcomes.front().first <= at) {
            limiter.record_outcome(route, outcomes.front().second, {outcomes.front().first});
            outcomes.pop_front();
        }
        if (is_limited && share(choices) >= limiter.admission_fraction(route, {at})) {
            continue;
        }
        // The service ignores deadlines and finishes all accepted work.
        free_at = std::max(free_at, at) + 1000 / capacity;
        bool const in_time = free_at - at <= time_limit_ms;
        useful += in_time ? 1 : 0;
        outcomes.emplace_back(in_time ? free_at : at + time_limit_ms, in_time);
    }
    return useful;
}

} // namespace

TEST_CASE(
    "metastable overload: a route on which all requests miss their deadline is limited until they meet it") {
    auto const without_limiter = useful_answers(200, 100, 20'000, false);
    auto const with_limiter = useful_answers(200, 100, 20'000, true);
    CHECK(without_limiter < 300);
    // The maximum is 2000.
    CHECK(with_limiter >= 3 * without_limiter);
}

TEST_CASE("a route that meets its deadlines is fully admitted") {
    CHECK(useful_answers(80, 100, 20'000, true) == useful_answers(80, 100, 20'000, false));
}

TEST_CASE("a route on which some requests fail is not limited") {
    goodput_limiter limiter;
    for (int number = 0; number < 200; ++number) {
        limiter.record_outcome(route, number % 10 >= 3, {number * 20.0});
        CHECK(limiter.admission_fraction(route, {number * 20.0}) >= (number < 20 ? 0.3 : 0.95));
    }
}

TEST_CASE("a route is fully admitted again within two seconds of recovering") {
    goodput_limiter limiter;
    double now = 0;
    for (; now < 5000; now += 20) {
        limiter.record_outcome(route, false, {now});
    }
    CHECK(limiter.admission_fraction(route, {now}) == 0.3);
    for (; now < 7000; now += 60) {
        limiter.record_outcome(route, true, {now});
    }
    CHECK(limiter.admission_fraction(route, {now}) == 1);
}

TEST_CASE("few outcomes have no effect, and old ones expire") {
    goodput_limiter limiter;
    for (int number = 0; number < 3; ++number) {
        limiter.record_outcome(route, false, {100});
    }
    CHECK(limiter.admission_fraction(route, {100}) == 1);
    for (int number = 0; number < 20; ++number) {
        limiter.record_outcome(route, false, {100});
    }
    CHECK(limiter.admission_fraction(route, {100}) == 0.3);
    CHECK(limiter.admission_fraction(route, {2500}) == 1);
}
