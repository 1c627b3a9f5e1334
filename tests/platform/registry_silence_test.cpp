/// How soon a source follows the registry again after calls without an answer.
#include "platform/followed_registry.hpp"

using namespace caraway;
using namespace caraway::registry;

namespace {

/// A host takes part again 3 s after the registry has come back; the rest of that is for the other hosts.
constexpr int max_reading_ms = 2600;

/// Makes the registry silent until one more call was sent to it after `failures` failed, and returns right
/// after that call. Then stores a version, and returns how many milliseconds pass until it is read.
qint64 reading_time_after_silence(followed_registry& watched, int failures) {
    REQUIRE(watched.wait_for([&] { return watched.configurations == 1; }));
    watched.registry.set_fault(registry_fault::silent);
    REQUIRE(watched.wait_for([&] { return watched.failures >= failures; }));
    auto const before = watched.registry.call_count();
    REQUIRE(watched.wait_for([&] { return watched.registry.call_count() > before; }));
    QElapsedTimer timer;
    timer.start();
    REQUIRE(watched.wait_for([&] { return timer.elapsed() >= 30; })); // The call is taken into the silence.
    watched.registry.set_fault(registry_fault::none);
    watched.registry.put("op/config", configuration_text(2));
    timer.restart();
    REQUIRE(watched.wait_for([&] { return watched.configuration_revision() == 2; }));
    return timer.elapsed();
}

} // namespace

// A watch that was sent into the silence was waited for as long as one that only waits at the registry.
TEST_CASE("a version stored after a short silence of the registry is read within 2.6 s") {
    followed_registry watched;
    CHECK(reading_time_after_silence(watched, 0) <= max_reading_ms);
}

TEST_CASE("a version stored after a long silence of the registry is read within 2.6 s") {
    followed_registry watched;
    CHECK(reading_time_after_silence(watched, 2) <= max_reading_ms);
}

// A registry whose every answer takes fifty times as long is not one that is silent.
TEST_CASE("a slow registry is neither taken for a silent one nor asked more often") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.configurations == 1; }));
    watched.registry.set_fault(registry_fault::slow);
    auto const calls = watched.registry.call_count();
    QElapsedTimer timer;
    timer.start();
    REQUIRE(watched.wait_for([&] { return timer.elapsed() > 9000; }));
    CHECK(watched.failures == 0);
    CHECK(watched.registry.call_count() <= calls + 6);
    watched.registry.put("op/config", configuration_text(2));
    CHECK(watched.wait_for([&] { return watched.configurations == 2; }));
}

// A reader that the registry turned away counted as a reader for as long as its links were open.
TEST_CASE("a source tells soon that the registry does not serve it, and that it does again") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.configurations == 1; }));
    auto fault = registry_fault::down;
    SUBCASE("answered with 503") {}
    SUBCASE("without an answer") {
        fault = registry_fault::silent;
    }
    watched.registry.set_fault(fault);
    QElapsedTimer timer;
    timer.start();
    CHECK(watched.wait_for([&] { return !watched.is_served; }));
    CHECK(timer.elapsed() <= max_reading_ms);
    watched.registry.set_fault(registry_fault::none);
    timer.restart();
    CHECK(watched.wait_for([&] { return watched.is_served; }));
    CHECK(timer.elapsed() <= max_reading_ms);
    CHECK(watched.service_changes == 2);
}

TEST_CASE("a single call without an answer from a registry that serves the next one is no outage for long") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.configurations == 1; }));
    watched.registry.set_fault(registry_fault::down);
    REQUIRE(watched.wait_for([&] { return watched.failures >= 1; }));
    watched.registry.set_fault(registry_fault::none);
    QElapsedTimer timer;
    timer.start();
    REQUIRE(watched.wait_for([&] { return timer.elapsed() >= 1000; }));
    CHECK(watched.service_changes == 0);
}
