/// The path of a request through real nodes: answers, identity, keys that do not leave the entry node, and
/// routes that need no key.

#include "system/support.hpp"

#include <thread>

using namespace caraway;
using namespace caraway::tests;

TEST_CASE("requests pass through three services, and every caller gets its own complete answer") {
    fleet system({.configuration = base_configuration(), .hosts = chain_hosts()});
    REQUIRE(system.wait_ready());
    SUBCASE("through any node") {
        for (std::size_t index = 0; index < system.size(); ++index) {
            auto const id = "request-" + std::to_string(index);
            auto headers = with_key();
            headers["X-Request-Id"] = id;
            auto const answer = system.call(index, "GET", "/front", headers);
            CHECK(answer.status == 200);
            CHECK(answer.outcome() == "ran");
            CHECK(answer.body == "front " + id);
            CHECK(answer.header("X-Request-Id") == id);
        }
    }
    SUBCASE("concurrently, with answers delayed and out of order") {
        std::vector<std::thread> callers;
        std::atomic<int> wrong{0};
        for (int caller = 0; caller < 16; ++caller) {
            callers.emplace_back([&, caller] {
                test_client client(system.node(static_cast<std::size_t>(caller) % system.size()).ip,
                                   callers_port);
                for (int count = 0; count < 40; ++count) {
                    auto const id = std::to_string(caller) + "-" + std::to_string(count);
                    auto headers = with_key();
                    headers["X-Request-Id"] = id;
                    auto const work = std::to_string((caller * 7 + count * 13) % 20);
                    auto const answer = client.request("GET", "/front?work_ms=" + work, headers);
                    wrong += answer.status == 200 && answer.body == "front " + id ? 0 : 1;
                }
            });
        }
        for (auto& caller : callers) {
            caller.join();
        }
        CHECK(wrong == 0);
    }
    SUBCASE("a large answer arrives complete") {
        auto const answer = system.call(1, "GET", "/front?size=900000", with_key());
        CHECK(answer.status == 200);
        CHECK(answer.body.size() == 900'000);
    }
    SUBCASE("a request whose answer is over the limit is reported as run") {
        auto const answer = system.call(1, "GET", "/front?size=3000000", with_key());
        CHECK(answer.outcome() == "ran");
        CHECK(answer.code() == static_cast<int>(result_code::answer_dropped));
    }
}

TEST_CASE("a request runs only for the organisation of its key, and no target sees a key") {
    fleet system({.configuration = base_configuration(), .hosts = chain_hosts()});
    REQUIRE(system.wait_ready());
    CHECK(system.call(0, "GET", "/front").code() == static_cast<int>(result_code::key_missing));
    CHECK(system.call(0, "GET", "/front", with_key("wrong")).code() ==
          static_cast<int>(result_code::key_unknown));
    CHECK(system.call(0, "GET", "/nowhere", with_key()).code() ==
          static_cast<int>(result_code::route_unknown));
    CHECK(system.call(3, "GET", "/open/front").status ==
          502); // Its nested call needs a key, and this request has no organisation.
    CHECK(system.call(0, "GET", "/front", with_key()).status == 200);
    auto const ticket = get_ticket(system, 0, "/front");
    CHECK(system.call(1, "POST", "/front", with_ticket(ticket), "x").outcome() == "ran");
    // A ticket issued to another organisation is invalid.
    auto const other = get_ticket(system, 0, "/front");
    auto const stolen = system.call(1, "POST", "/front", with_ticket(other, second_key), "x");
    CHECK(stolen.code() == static_cast<int>(result_code::ticket_invalid));
    // A context token of no live request, shown to the caller listener and to the egress listener.
    auto headers = with_key();
    headers["X-Caraway-Context"] = std::string(32, 'a');
    CHECK(system.call(0, "GET", "/front", headers).code() == static_cast<int>(result_code::context_unknown));
    auto const egress =
        fetch(system.node(0).ip, egress_port, "GET", "/middle", {{"X-Caraway-Context", "none"}});
    CHECK(egress.code() == static_cast<int>(result_code::context_unknown));
    CHECK(fetch(system.node(0).ip, egress_port, "GET", "/middle").code() ==
          static_cast<int>(result_code::key_missing));
    for (std::size_t index = 0; index < system.size(); ++index) {
        auto const seen = system.node(index).target->received_headers();
        CHECK(seen.find(first_key) == std::string::npos);
        CHECK(seen.find("Authorization") == std::string::npos);
    }
}

TEST_CASE("requests of a caller that disconnects are cancelled, and the node keeps serving") {
    auto hosts = chain_hosts();
    fleet system({.configuration = base_configuration(), .hosts = hosts});
    REQUIRE(system.wait_ready());
    {
        std::vector<std::unique_ptr<test_client>> callers;
        for (int count = 0; count < 20; ++count) {
            callers.push_back(std::make_unique<test_client>(system.node(0).ip, callers_port));
            callers.back()->send_raw(
                "GET /front?hang=1 HTTP/1.1\r\nHost: x\r\nAuthorization: " + bearer(first_key) + "\r\n\r\n");
        }
        // A host that has just started may route some requests to the other domain.
        CHECK(wait_until(
            [&] { return system.node(0).target->in_flight() + system.node(3).target->in_flight() >= 20; },
            std::chrono::seconds(4)));
    }
    // The nodes drop the requests at once, long before their deadline of 60 seconds.
    for (std::size_t const index : {0, 3}) {
        CHECK(wait_until([&] { return system.status_field(index, "target.in_flight") == "0"; },
                         std::chrono::seconds(3)));
    }
    CHECK(system.call(0, "GET", "/back", with_key()).status == 200);
}

TEST_CASE("a request that exceeds its deadline is answered in time") {
    fleet system({.configuration = base_configuration(), .hosts = chain_hosts()});
    REQUIRE(system.wait_ready());
    auto headers = with_key();
    headers["X-Request-Timeout-Ms"] = "300";
    auto const begin = std::chrono::steady_clock::now();
    auto const answer = system.call(1, "GET", "/front?hang=1", headers);
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(2));
    CHECK(answer.status == 504);
    CHECK(answer.outcome() == "unknown");
}
