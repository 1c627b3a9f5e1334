/// A failure domain is evacuated and taken back, with real processes of which one is killed meanwhile.

#include "system/support.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

using namespace caraway::tests;

namespace {

/// The hosts of domain a are the first two of `flat_hosts`.
std::uint64_t runs_in_a(fleet& system) {
    return system.node(0).target->run_count() + system.node(1).target->run_count();
}

/// Sends requests through all nodes for a while. Returns how many were not served.
int call_all(fleet& system, std::chrono::milliseconds span, std::size_t skipped = 99) {
    int failed = 0;
    auto const until = std::chrono::steady_clock::now() + span;
    while (std::chrono::steady_clock::now() < until) {
        for (std::size_t index = 0; index < system.size(); ++index) {
            bool const is_served =
                index == skipped || system.call(index, "GET", "/front", with_key()).outcome() == "ran";
            failed += is_served ? 0 : 1;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return failed;
}

bool wait_evacuated(fleet& system, std::string const& domain) {
    return wait_until(
        [&] {
            for (std::size_t index = 0; index < system.size(); ++index) {
                if (system.status_field(index, "evacuated_domains.0.domain") != domain) {
                    return false;
                }
            }
            return true;
        },
        std::chrono::seconds(5));
}

} // namespace

TEST_CASE(
    "an evacuated domain gets nothing, also after a kill in it, and is used again when it is taken back") {
    fleet system({.configuration = base_configuration(), .hosts = flat_hosts()});
    REQUIRE(system.wait_ready());
    CHECK(call_all(system, std::chrono::milliseconds(300)) == 0);
    REQUIRE(runs_in_a(system) > 0);
    system.evacuate({"a"});
    REQUIRE(wait_evacuated(system, "a"));
    CHECK(system.status_field(0, "evacuated") == "true");
    CHECK(system.status_field(0, "ready") == "true");
    CHECK(system.status_field(2, "evacuated") == "false");
    auto const before = runs_in_a(system);
    CHECK(call_all(system, std::chrono::milliseconds(700)) == 0);
    system.kill(0);
    call_all(system, std::chrono::milliseconds(300), 0);
    system.start(0);
    REQUIRE(wait_until([&] { return system.status_field(0, "ready") == "true"; }, std::chrono::seconds(10)));
    CHECK(call_all(system, std::chrono::milliseconds(700)) == 0);
    CHECK(runs_in_a(system) == before);
    system.evacuate({});
    REQUIRE(wait_evacuated(system, ""));
    CHECK(call_all(system, std::chrono::milliseconds(500)) == 0);
    CHECK(runs_in_a(system) > before);
}
