/// Targets that are cold, with real processes of which one is killed meanwhile.

#include "system/support.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

using namespace caraway::tests;
using milliseconds = std::chrono::milliseconds;

namespace {

constexpr std::size_t cold_rate = 20;
constexpr double cold_ms = 1500;
/// What arrives within a second although it was sent at other times, on a busy machine.
constexpr std::size_t bunched = 8;

std::string cold_configuration() {
    auto text = base_configuration();
    std::string const table = "[services.front]\n";
    return text.insert(text.find(table) + table.size(), "cold_rate = " + std::to_string(cold_rate) +
                                                            "\ncold_ms = " + std::to_string(cold_ms) +
                                                            "\nhealth_path = \"" + health_path + "\"\n");
}

/// Each failure domain has one target, which callers of the domain prefer.
std::vector<fleet_host> two_hosts() {
    return {make_host("a-1", "a", "front", 5), make_host("b-1", "b", "front", 5)};
}

void call_all(fleet& system, milliseconds span, std::size_t skipped = 99) {
    auto const until = std::chrono::steady_clock::now() + span;
    while (std::chrono::steady_clock::now() < until) {
        for (std::size_t index = 0; index < system.size(); ++index) {
            if (index != skipped) {
                system.call(index, "GET", "/front", with_key());
            }
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
}

/// Sends requests until the target has got this many; false when it does not within ten seconds.
bool call_until_runs(fleet& system, target_standin const& target, std::uint64_t count) {
    auto const wanted = target.run_count() + count;
    return wait_until(
        [&] {
            call_all(system, milliseconds(20));
            return target.run_count() >= wanted;
        },
        std::chrono::seconds(10));
}

} // namespace

TEST_CASE("a target that starts again gets its cold rate, also when the host beside it is killed, and then "
          "its share") {
    fleet system({.configuration = cold_configuration(), .hosts = two_hosts()});
    REQUIRE(system.wait_ready());
    auto& target = *system.node(0).target;
    REQUIRE(call_until_runs(system, target, cold_rate));
    target.restart(300, cold_ms);
    call_all(system, milliseconds(700));
    system.kill(0);
    system.start(0);
    call_all(system, milliseconds(static_cast<int>(cold_ms)), 0);
    CHECK(target.most_in_a_cold_second() <= cold_rate + bunched);
    REQUIRE(wait_until([&] { return system.status_field(0, "ready") == "true"; }, std::chrono::seconds(10)));
    REQUIRE(wait_until([&] { return system.status_field(0, "target.pace_reason") == "none"; },
                       std::chrono::seconds(5)));
    CHECK(call_until_runs(system, target, cold_rate));
}

TEST_CASE("an emptied domain is taken back with its targets cold, and gets no more than they bear") {
    fleet system({.configuration = cold_configuration(), .hosts = two_hosts()});
    REQUIRE(system.wait_ready());
    call_all(system, milliseconds(300));
    system.evacuate({"a"});
    REQUIRE(wait_until([&] { return system.status_field(1, "evacuated_domains.0.domain") == "a"; },
                       std::chrono::seconds(5)));
    call_all(system, milliseconds(300));
    system.node(0).target->become_cold(cold_ms);
    system.evacuate({});
    call_all(system, milliseconds(static_cast<int>(cold_ms)));
    auto const& target = *system.node(0).target;
    CHECK(target.most_in_a_cold_second() <= cold_rate + bunched);
    CHECK(call_until_runs(system, target, cold_rate));
}
