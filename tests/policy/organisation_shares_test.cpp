/// Shares of organisations of a short room, by cost.

#include "policy/organisation_shares.hpp"

#include <doctest/doctest.h>

using namespace caraway;

namespace {

constexpr int organisation_count = 20;

/// Offers 10 slots of work of each organisation, `factor` times as much of the first `hot`. `requests`: into
/// how many requests the work of the last one is divided.
organisation_fractions divide(double room, int hot, double factor, int requests = 1) {
    organisation_shares shares;
    double offered = 0;
    for (int window = 0; window < 100; ++window) {
        offered = 0;
        for (int index = 0; index < organisation_count; ++index) {
            double const slots = 10 * (index < hot ? factor : 1);
            offered += slots;
            int const parts = index == organisation_count - 1 ? requests : 1;
            for (int part = 0; part < parts; ++part) {
                shares.record("o" + std::to_string(index), 1, 50 * slots / parts);
            }
        }
        shares.update({50});
    }
    return shares.divide(std::min(1.0, room / offered));
}

double fraction_of(organisation_fractions const& fractions, std::string const& organisation) {
    auto const found = fractions.named.find(organisation);
    return found == fractions.named.end() ? fractions.others : found->second;
}

} // namespace

TEST_CASE("one hot organisation, and three at once, leave the others their share of a short room") {
    for (double const room : {100.0, 190.0}) {
        double const before = fraction_of(divide(room, 0, 1), "o10");
        for (int const hot : {1, 3}) {
            CAPTURE(room);
            CAPTURE(hot);
            auto const after = divide(room, hot, 6);
            CHECK(fraction_of(after, "o10") == doctest::Approx(before).epsilon(0.02));
            CHECK(fraction_of(after, "o0") <= 0.2);
        }
    }
}

TEST_CASE("many cheap requests do not push out few dear ones") {
    auto const fractions = divide(100, 0, 1, 20);
    CHECK(fraction_of(fractions, "o19") == doctest::Approx(fraction_of(fractions, "o0")).epsilon(0.02));
}

TEST_CASE("an organisation with twice the weight gets twice the room") {
    organisation_shares shares;
    for (int window = 0; window < 100; ++window) {
        shares.record("heavy", 2, 500);
        shares.record("light", 1, 500);
        shares.update({50});
    }
    auto const fractions = shares.divide(0.45);
    CHECK(fraction_of(fractions, "heavy") == doctest::Approx(0.6));
    CHECK(fraction_of(fractions, "light") == doctest::Approx(0.3));
}
