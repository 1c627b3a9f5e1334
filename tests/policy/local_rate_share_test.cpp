/// Even shares and leased fraction together stay within the tolerance, also for an overloading organisation
/// and after a restart of all hosts.

#include "policy/local_rate_share.hpp"
#include "support/property.hpp"

#include <vector>

using namespace caraway;

namespace {

constexpr rate_tolerance tolerated{.window = duration{5000}, .overage = 0.25, .slack = 20};

double bound_of(double rate, double burst) {
    return 1.25 * (rate * 5 + burst) + 20;
}

} // namespace

TEST_CASE("what all hosts may admit in a window stays within the tolerance") {
    caraway::tests::check_property("division", [] {
        double const rate = *rc::gen::inRange(1, 2000);
        double const burst = *rc::gen::inRange(1, 2000);
        auto const hosts = *rc::gen::inRange<std::size_t>(1, 400);
        auto const division = divide_rate(rate, burst, hosts, tolerated);
        double const local = static_cast<double>(hosts) * (division.local_rate * 5 + division.local_capacity);
        double const leased = division.leased_fraction * (rate * 5 + burst);
        RC_ASSERT(local + leased <= bound_of(rate, burst) + 1e-6);
    });
}

TEST_CASE("without a tolerance the whole rate is leased") {
    auto const division = divide_rate(100, 100, 10, {});
    CHECK(division.local_rate == 0);
    CHECK(division.leased_fraction == 1);
}

TEST_CASE("an organisation at many times its rate gets no more than its tolerance in any window") {
    constexpr std::size_t hosts = 13;
    constexpr double rate = 50;
    auto const division = divide_rate(rate, rate, hosts, tolerated);
    std::vector<local_rate_share> shares(hosts);
    std::vector<double> admitted;
    for (auto& share : shares) {
        share.configure({{"org", division}}, {0});
    }
    for (double at = 0; at < 30'000; at += 1) {
        if (shares[static_cast<std::size_t>(at) % hosts].try_consume("org", {at})) {
            admitted.push_back(at);
        }
        if (static_cast<int>(at) % 7000 == 6999) {
            // All hosts restart and lose the tokens in their buckets.
            for (auto& share : shares) {
                share = {};
                share.configure({{"org", division}}, {at});
            }
        }
    }
    std::size_t first = 0;
    for (std::size_t last = 0; last < admitted.size(); ++last) {
        while (admitted[last] - admitted[first] > 5000) {
            ++first;
        }
        double const in_window = static_cast<double>(last - first + 1);
        double const leased = division.leased_fraction * (rate * 5 + rate);
        CHECK(in_window + leased <= bound_of(rate, rate));
    }
}
