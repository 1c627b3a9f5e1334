/// A non-idempotent request runs at most once, and one that was answered "not-run" never runs, under every
/// fault.

#include "system/support.hpp"

#include <csignal>
#include <thread>

using namespace caraway;
using namespace caraway::tests;

namespace {

fleet_options flat_fleet() {
    return {.configuration = base_configuration(), .hosts = flat_hosts()};
}

/// The index of the first host whose target has started an execution; the number of hosts if there is none.
std::size_t executing_host(fleet& system) {
    for (std::size_t index = 0; index < system.size(); ++index) {
        if (system.node(index).target->run_count() > 0) {
            return index;
        }
    }
    return system.size();
}

} // namespace

TEST_CASE("copies of a request with one ticket run once, whichever nodes they are sent through") {
    fleet system(flat_fleet());
    REQUIRE(system.wait_ready());
    auto const first = system.call(0, "POST", "/front", with_key(), "pay");
    CHECK(first.status == 428);
    CHECK(first.outcome() == "not-run");
    CHECK(system.runs().empty());
    auto const ticket = first.header("Idempotency-Key");
    SUBCASE("one after another, through both failure domains") {
        for (std::size_t index = 0; index < system.size(); ++index) {
            auto const answer = system.call(index, "POST", "/front", with_ticket(ticket), "pay");
            CHECK(answer.outcome() == "ran");
            CHECK(answer.status == 200);
        }
    }
    SUBCASE("concurrently") {
        std::vector<std::thread> callers;
        std::atomic<int> ran{0};
        for (std::size_t caller = 0; caller < 12; ++caller) {
            callers.emplace_back([&, caller] {
                auto const answer = system.call(caller % system.size(), "POST", "/front?work_ms=100",
                                                with_ticket(ticket), "pay");
                ran += answer.outcome() == "ran" ? 1 : 0;
            });
        }
        for (auto& caller : callers) {
            caller.join();
        }
        CHECK(ran == 12);
    }
    CHECK(max_runs_per_request(system) == 1);
}

TEST_CASE("when links go silent, a retry gets the lost answer and nothing runs twice") {
    fleet system(flat_fleet());
    REQUIRE(system.wait_ready());
    for (int round = 0; round < 3; ++round) {
        auto const ticket = get_ticket(system, 0, "/front");
        auto headers = with_ticket(ticket);
        headers["X-Request-Timeout-Ms"] = "1500";
        // All links that are open now become silent, so requests and answers on them are lost.
        for (std::size_t index = 0; index < system.size(); ++index) {
            system.node(index).proxy->set_fault(link_fault::silent, [](std::string const&) { return true; });
        }
        auto const first = system.call(0, "POST", "/front", headers, "pay");
        CHECK(first.status != 0);
        // Until its own silent links are replaced, this node may answer that it forwarded nothing.
        CHECK(wait_until(
            [&] { return system.call(2, "POST", "/front", with_ticket(ticket), "pay").outcome() == "ran"; },
            std::chrono::seconds(5)));
        CHECK(max_runs_per_request(system) == 1);
        system.wait_ready();
    }
}

TEST_CASE("when the executing node is killed, the outcome is unknown and the request never runs again") {
    fleet system(flat_fleet());
    REQUIRE(system.wait_ready());
    auto const ticket = get_ticket(system, 0, "/front");
    client_answer first;
    std::thread caller(
        [&] { first = system.call(0, "POST", "/front?work_ms=600", with_ticket(ticket), "pay"); });
    REQUIRE(wait_until([&] { return executing_host(system) < system.size(); }, std::chrono::seconds(5)));
    auto const executing_node = executing_host(system);
    auto const other_node = (executing_node + 1) % system.size();
    system.kill(executing_node);
    caller.join();
    if (executing_node != 0) {
        // The entry node is still alive, so it must answer, and with the true outcome.
        CHECK(first.outcome() == "unknown");
    }
    // A node that cannot forward the request reports the outcome of its own copy only.
    auto const meanwhile = system.call(other_node, "POST", "/front", with_ticket(ticket), "pay").outcome();
    CHECK((meanwhile == "unknown" || meanwhile == "not-forwarded"));
    system.start(executing_node);
    REQUIRE(system.wait_ready());
    for (std::size_t index = 0; index < system.size(); ++index) {
        auto const answer = system.call(index, "POST", "/front", with_ticket(ticket), "pay");
        CHECK(answer.outcome() == "unknown");
        CHECK(answer.code() == static_cast<int>(result_code::incarnation_gone));
    }
    CHECK(max_runs_per_request(system) == 1);
}

TEST_CASE("while the executing node is paused, copies get a true outcome and nothing runs twice") {
    fleet system(flat_fleet());
    REQUIRE(system.wait_ready());
    auto const ticket = get_ticket(system, 0, "/front");
    std::thread caller([&] { system.call(0, "POST", "/front?work_ms=100", with_ticket(ticket), "pay"); });
    REQUIRE(wait_until([&] { return executing_host(system) < system.size(); }, std::chrono::seconds(5)));
    auto const executing_node = executing_host(system);
    auto const other_node = (executing_node + 1) % system.size();
    system.send_signal(executing_node, SIGSTOP);
    auto headers = with_ticket(ticket);
    headers["X-Request-Timeout-Ms"] = "1500";
    auto const during = system.call(other_node, "POST", "/front", headers, "pay");
    CHECK((during.outcome() == "unknown" || during.outcome() == "not-forwarded"));
    std::this_thread::sleep_for(std::chrono::seconds(4));
    system.send_signal(executing_node, SIGCONT);
    caller.join();
    REQUIRE(system.wait_ready());
    auto const after = system.call(other_node, "POST", "/front", with_ticket(ticket), "pay");
    CHECK(after.outcome() == "ran");
    CHECK(max_runs_per_request(system) == 1);
}

TEST_CASE("when the target crashes during a run, the outcome is unknown and the ticket is spent") {
    fleet system(flat_fleet());
    REQUIRE(system.wait_ready());
    auto const ticket = get_ticket(system, 0, "/front");
    auto const first = system.call(0, "POST", "/front", with_ticket(ticket), "crash");
    CHECK(first.outcome() == "unknown");
    CHECK(first.code() == static_cast<int>(result_code::target_crashed));
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    for (std::size_t index = 0; index < system.size(); ++index) {
        CHECK(system.call(index, "POST", "/front", with_ticket(ticket), "crash").outcome() == "unknown");
    }
    CHECK(max_runs_per_request(system) == 1);
}

TEST_CASE("requests answered not-run or not-forwarded never ran") {
    auto hosts = flat_hosts();
    auto configuration = base_configuration();
    // With one slot, most concurrent requests are refused.
    configuration.replace(configuration.find("slots = 50"), 10, "slots = 1");
    for (auto& host : hosts) {
        host.target.slots = 1;
        host.target.work_ms = 60;
    }
    fleet system({.configuration = configuration, .hosts = hosts});
    REQUIRE(system.wait_ready());
    std::mutex mutex;
    std::map<std::string, std::string> outcomes; // By ticket number.
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 40; ++caller) {
        callers.emplace_back([&, caller] {
            auto const entry = static_cast<std::size_t>(caller) % system.size();
            auto headers = with_ticket(get_ticket(system, entry, "/front"));
            headers["X-Request-Id"] = "once-" + std::to_string(caller);
            auto const answer = system.call(entry, "POST", "/front", headers, "pay");
            std::lock_guard const guard(mutex);
            outcomes[headers["Idempotency-Key"].substr(0, 32)] = answer.outcome();
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    auto const runs = system.runs();
    int refused = 0;
    for (auto const& [number, outcome] : outcomes) {
        bool const claims_not_run = outcome == "not-run" || outcome == "not-forwarded";
        refused += claims_not_run ? 1 : 0;
        CHECK(runs.contains(number) != claims_not_run);
    }
    CHECK(refused > 0);
    CHECK(max_runs_per_request(system) == 1);
}
