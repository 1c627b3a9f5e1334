/// Log lines are bounded for each event, and what is left out is told.

#include "telemetry/log_limiter.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace caraway;

TEST_CASE("a flood of one event is bounded, told, and leaves other events alone") {
    log_limiter limiter;
    int written = 0;
    int told = 0;
    auto const take = [&](double at) {
        log_entry entry{log_level::info, "request_ended", {}};
        if (!limiter.admit(entry, {at})) {
            return;
        }
        ++written;
        for (auto const& field : entry.fields) {
            CHECK(field.name == "left_out");
            told += std::stoi(field.value);
        }
    };
    for (int line = 0; line < 1000; ++line) {
        take(1000.0 + line);
    }
    // A second's worth at once and another one over the second that the flood lasts.
    CHECK(written <= 2 * static_cast<int>(log_lines_per_second));
    CHECK(written >= static_cast<int>(log_lines_per_second));
    log_entry other{log_level::warn, "target_died", {}};
    CHECK(limiter.admit(other, {2000}));
    take(3000);
    CHECK(told == 1001 - written);
}
