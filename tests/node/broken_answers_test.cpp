/// Answers of a peer that no target can have given.

#include "node/simulated_fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace caraway;
using namespace caraway::simulation;

// A host of an older version passes on any status of its target. Its peers gave that to their callers, and
// took it for success wherever the host is judged.
TEST_CASE("an answer of a peer with a status that no answer may have fails, and the peer is avoided") {
    constexpr int request_count = 200;
    for (std::uint16_t const status : {0, 99, 100, 600, 999}) {
        CAPTURE(status);
        simulated_fleet fleet(make_plan({{.name = "front", .hosts = 3}}));
        fleet.run_for(duration{3000});
        auto const faulty_host = fleet.hosts().back();
        fleet.set_answer_status(faulty_host, status);
        std::vector<std::string> reads;
        std::vector<std::string> writes;
        for (int count = 0; count < request_count; ++count) {
            reads.push_back(fleet.send_request(fleet.hosts().front(), "/front/read"));
            writes.push_back(fleet.send_request(fleet.hosts().front(), "/front/write"));
            fleet.run_for(duration{30});
        }
        fleet.run_for(duration{2000});
        int served = 0;
        for (auto const& requests : {reads, writes}) {
            for (auto const& id : requests) {
                auto const& answer = fleet.answers().at(id);
                served += answer.code == result_code::ok ? 1 : 0;
                bool const is_sound = answer.code == result_code::ok && answer.status == 200;
                bool const is_failure = answer.code == result_code::target_malformed &&
                                        answer.result == outcome::unknown && answer.status == 502;
                CHECK((is_sound || is_failure));
            }
        }
        for (auto const& id : writes) {
            CHECK(fleet.runs_of(id) == 1);
        }
        CHECK(served > request_count);
        auto const faulty_runs = std::ranges::count(fleet.runs(), faulty_host, &target_run::host);
        CHECK(faulty_runs > 0);
        CHECK(static_cast<std::size_t>(faulty_runs) * 3 < fleet.runs().size());
    }
}
