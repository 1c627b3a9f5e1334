/// The ring of events between the node's threads.

#include "node/core_thread.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <thread>

using namespace caraway;

namespace {

settings one_host() {
    settings options;
    options.host = "10.0.0.1";
    options.service = "front";
    options.fleet_secret = "secret";
    return options;
}

bool becomes_true(std::function<bool()> const& condition) {
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return condition();
}

} // namespace

// A disconnect, an answer of the target, a checked document or a change of phase that met a full ring was
// dropped, and nothing repeated it in time.
TEST_CASE("events that nobody repeats are handled although the ring of events is full") {
    std::vector<log_entry> logs;
    core_thread core(one_host(), {}, 1, [&logs](effects&& all) {
        for (auto& entry : all.logs) {
            if (entry.event == "document_refused") {
                logs.push_back(std::move(entry));
            }
        }
    });
    while (core.push(listener_request{})) {
    }
    CHECK(core.push(document_checked_event{.revision = 7, .refusal = "a reason"}));
    CHECK(core.push(phase_event{node_phase::draining}));
    core.start();
    CHECK(becomes_true([&core] { return core.status()->phase == node_phase::draining; }));
    core.stop();
    CHECK(logs.size() == 1);
}
