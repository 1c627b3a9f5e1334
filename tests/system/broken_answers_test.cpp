/// A target whose answers can't be read, beside a sound one, through real nodes.

#include "system/support.hpp"

using namespace caraway;
using namespace caraway::tests;

// Status 000 was passed on, and counted as success: the faulty target answered fastest and drew the load.
TEST_CASE("a target that answers with status 000 is avoided, and nobody gets that as an answer") {
    constexpr unsigned int request_count = 400;
    auto hosts = flat_hosts();
    hosts.resize(2);
    hosts.back().target.faulty_status = 0;
    fleet system({.configuration = base_configuration(), .hosts = std::move(hosts)});
    REQUIRE(system.wait_ready());
    unsigned int served = 0;
    for (unsigned int index = 0; index < request_count; ++index) {
        auto const answer = system.call(index % 2, "GET", "/front", with_key());
        served += answer.status == 200 ? 1 : 0;
        bool const is_true = answer.status == 200 ? answer.outcome() == "ran" : answer.outcome() == "unknown";
        CHECK(is_true);
    }
    CHECK(served > request_count / 2);
    CHECK(system.node(1).target->run_count() < system.node(0).target->run_count());

    auto headers = with_key();
    headers["Idempotency-Key"] = get_ticket(system, 1, "/front");
    auto const order = system.call(1, "POST", "/front", headers);
    bool const is_served = order.status == 200 && order.outcome() == "ran";
    bool const is_refused = order.status == 502 && order.outcome() == "unknown";
    CHECK((is_served || is_refused));
}
