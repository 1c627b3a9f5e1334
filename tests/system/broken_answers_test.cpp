/// A target whose answers can't be read, beside a sound one, through real nodes.

#include "system/support.hpp"

#include <atomic>
#include <thread>
#include <vector>

using namespace caraway;
using namespace caraway::tests;

// Status 000 was passed on, and counted as success: the faulty target answered fastest and drew the load.
TEST_CASE("a target that answers with status 000 is avoided, and nobody gets that as an answer") {
    constexpr std::size_t caller_count = 8;
    constexpr int requests_per_caller = 50;
    constexpr int request_count = static_cast<int>(caller_count) * requests_per_caller;
    auto hosts = flat_hosts();
    hosts.resize(2);
    hosts.back().target.faulty_status = 0;
    fleet system({.configuration = base_configuration(), .hosts = std::move(hosts)});
    REQUIRE(system.wait_ready());
    std::atomic<int> served{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> callers;
    for (std::size_t caller = 0; caller < caller_count; ++caller) {
        callers.emplace_back([&, caller] {
            for (int count = 0; count < requests_per_caller; ++count) {
                auto const answer = system.call(caller % system.size(), "GET", "/front", with_key());
                served += answer.status == 200 && answer.outcome() == "ran" ? 1 : 0;
                failed += answer.status == 502 && answer.outcome() == "unknown" ? 1 : 0;
            }
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    CHECK(served + failed == request_count);
    CHECK(served > request_count / 2);
    // Requests in parallel reach both targets; without one at the faulty target the test would show nothing.
    REQUIRE(system.node(1).target->run_count() > 0);
    CHECK(system.node(1).target->run_count() < system.node(0).target->run_count());

    auto headers = with_key();
    headers["Idempotency-Key"] = get_ticket(system, 1, "/front");
    auto const order = system.call(1, "POST", "/front", headers);
    bool const is_served = order.status == 200 && order.outcome() == "ran";
    bool const is_refused = order.status == 502 && order.outcome() == "unknown";
    CHECK((is_served || is_refused));
}
