/// Real processes that get no processor time for a while, and callers that leave meanwhile.

#include "system/support.hpp"

#include <csignal>
#include <deque>
#include <sys/wait.h>
#include <thread>

using namespace caraway;
using namespace caraway::tests;

namespace {

constexpr int caller_count = 20;
constexpr int pipeline_length = 6;

std::size_t begun(fleet& system) {
    std::size_t count = 0;
    for (std::size_t index = 0; index < system.size(); ++index) {
        count += system.node(index).target->run_count();
    }
    return count;
}

/// Each caller sends its requests one behind the other, and leaves before any answer.
void send_and_leave(fleet& system, std::vector<std::string> const& requests) {
    std::deque<test_client> callers;
    for (int index = 0; index < caller_count; ++index) {
        auto& caller =
            callers.emplace_back(system.node(static_cast<std::size_t>(index) % 2).ip, callers_port);
        std::string text;
        for (auto const& request : requests) {
            text += request;
        }
        REQUIRE(caller.send_raw(text));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    for (auto& caller : callers) {
        caller.close();
    }
}

} // namespace

// A late loop acted on what it read first, and looked at the ends of the connections behind it afterwards.
TEST_CASE("nodes that got no processor time begin nothing for callers that have left meanwhile") {
    auto const get = "GET /front HTTP/1.1\r\nHost: x\r\nAuthorization: " + bearer(first_key) + "\r\n\r\n";
    auto const last =
        "GET /front HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: " + bearer(first_key) +
        "\r\n\r\n";
    auto const with_body =
        "GET /front HTTP/1.1\r\nHost: x\r\nContent-Length: 40000\r\nAuthorization: " + bearer(first_key) +
        "\r\n\r\n" + std::string(40'000, 'x');
    std::vector<std::string> requests;
    SUBCASE("pipelines") {
        requests = std::vector<std::string>(pipeline_length, get);
    }
    SUBCASE("one request on each connection") {
        requests = {last};
    }
    SUBCASE("a body of several segments before a pipeline") {
        requests = {with_body, get, get};
    }
    fleet system({.configuration = base_configuration(),
                  .hosts = flat_hosts(),
                  .extra_settings = "[limits]\nmax_pipeline = 16\n"});
    REQUIRE(system.wait_ready());
    auto const before = begun(system);
    for (std::size_t node : {0U, 1U}) {
        system.send_signal(node, SIGSTOP);
        // Returns once all threads stand still; until then a first request would not be late.
        REQUIRE(::waitpid(system.node(node).process, nullptr, WUNTRACED) == system.node(node).process);
    }
    send_and_leave(system, requests);
    std::this_thread::sleep_for(std::chrono::milliseconds(950));
    for (std::size_t node : {0U, 1U}) {
        system.send_signal(node, SIGCONT);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    CHECK(begun(system) - before == 0);
}
