/// A non-idempotent request runs at most once, and "not-run" is true, under every fault.

#include "system/support.hpp"

#include <csignal>
#include <thread>

using namespace caraway;
using namespace caraway::tests;

namespace {

fleet_options flat_fleet() {
    return {.configuration = base_configuration(), .hosts = flat_hosts()};
}

/// The index of the host on which the last run happened.
std::size_t executing_host(fleet& system) {
    for (std::size_t index = 0; index < system.size(); ++index) {
        if (system.node(index).target->run_count() > 0) {
            return index;
        }
    }
    return system.size();
}

} // namespace

TEST_CASE("a ticket runs once through whatever node its copies come") {
    fleet system(flat_fleet());
    REQUIRE(system.wait_ready());
    auto const first = system.call(0, "POST", "/front", with_key(), "pay");
    CHECK(first.status == 428);
    CHECK(first.outcome() == "not-run");
    CHECK(system.runs().empty());
    auto const ticket = first.header("Idempotency-Key");
    SUBCASE("one after another, through both domains") {
        for (std::size_t index = 0; index < system.size(); ++index) {
            auto const answer = system.call(index, "POST", "/front", with_ticket(ticket), "pay");
            CHECK(answer.outcome() == "ran");
            CHECK(answer.status == 200);
        }
    }
    SUBCASE("all at once") {
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

TEST_CASE("the answer is lost on the way: the resend gets it, and nothing runs twice") {
    fleet system(flat_fleet());
    REQUIRE(system.wait_ready());
    for (int round = 0; round < 3; ++round) {
        auto const ticket = get_ticket(system, 0, "/front");
        auto headers = with_ticket(ticket);
        headers["X-Request-Timeout-Ms"] = "1500";
        // Answers of every host are swallowed once, for the first second.
        for (std::size_t index = 0; index < system.size(); ++index) {
            system.node(index).proxy->set_fault(link_fault::silent, [](std::string const&) { return true; });
        }
        auto const first = system.call(0, "POST", "/front", headers, "pay");
        CHECK(first.status != 0);
        // While its own links are replaced, another node may have to say that it passed nothing on.
        CHECK(wait_until(
            [&] { return system.call(2, "POST", "/front", with_ticket(ticket), "pay").outcome() == "ran"; },
            std::chrono::seconds(5)));
        CHECK(max_runs_per_request(system) == 1);
        system.wait_ready();
    }
}

TEST_CASE("the executing host's process dies: unknown, and never run again") {
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
        // The first node lives: it has to answer, truthfully.
        CHECK(first.outcome() == "unknown");
    }
    // A node that can pass nothing on speaks of its own copy only.
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

TEST_CASE("the executing host's process pauses: copies wait or end honestly, and nothing runs twice") {
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

TEST_CASE("the target dies in the middle: unknown, and the ticket is spent") {
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

TEST_CASE("not-run and not-forwarded are true: what said so never ran") {
    auto hosts = flat_hosts();
    auto configuration = base_configuration();
    // One slot: most of what comes at once is refused.
    configuration.replace(configuration.find("slots = 50"), 10, "slots = 1");
    for (auto& host : hosts) {
        host.target.slots = 1;
        host.target.work_ms = 60;
    }
    fleet system({.configuration = configuration, .hosts = hosts});
    REQUIRE(system.wait_ready());
    std::mutex mutex;
    std::map<std::string, std::string> outcomes; // By the body's number, which names the request.
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
