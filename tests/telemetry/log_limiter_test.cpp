/// The rate of log lines is limited for each event, and the number of suppressed lines is reported.

#include "telemetry/log_limiter.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace caraway;

TEST_CASE("a flood of one event is limited and reported, and other events are not affected") {
    log_limiter limiter;
    int written = 0;
    int reported = 0;
    auto const log_at = [&](double at) {
        log_entry entry{log_level::info, "request_ended", {}};
        if (!limiter.admit(entry, {at})) {
            return;
        }
        ++written;
        for (auto const& field : entry.fields) {
            CHECK(field.name == "left_out");
            reported += std::stoi(field.value);
        }
    };
    for (int line = 0; line < 1000; ++line) {
        log_at(1000.0 + line);
    }
    // One second's worth of lines as a burst, and another one during the second that the flood lasts.
    CHECK(written <= 2 * static_cast<int>(log_lines_per_second));
    CHECK(written >= static_cast<int>(log_lines_per_second));
    log_entry other{log_level::warn, "target_died", {}};
    CHECK(limiter.admit(other, {2000}));
    log_at(3000);
    CHECK(reported == 1001 - written);
}
