/// A request's lines are found in several logs, and its outcome is distinguished from those of its calls.

#include "request_log.hpp"

#include <doctest/doctest.h>

#include <sstream>

using namespace caraway;

namespace {

std::string line_of(std::string const& time, std::string const& id, std::string const& code) {
    return R"({ "timestamp": ")" + time +
           R"(", "message": "request_ended", "context_map": { "request_id": ")" + id + R"(", "code": ")" +
           code + "\" } }\n";
}

} // namespace

TEST_CASE("lines of a request and its calls are merged in the order of time") {
    std::stringstream first("  1.2 host-a " + line_of("10:00:02", "r1", "deadline_passed") +
                            "no json here r1\n" + line_of("10:00:01", "r11", "overloaded"));
    std::stringstream second(line_of("10:00:01", "r1.4.2", "overloaded") +
                             line_of("10:00:03", "r2", "leaving"));
    std::vector<log_line> lines;
    collect_request_lines(first, "r1", lines);
    collect_request_lines(second, "r1", lines);
    sort_by_time(lines);
    REQUIRE(lines.size() == 2);
    CHECK(lines.at(0).request_id == "r1.4.2");
    CHECK(lines.at(1).field("code") == "deadline_passed");
    auto const* outcome_line = find_outcome(lines, "r1");
    REQUIRE(outcome_line != nullptr);
    CHECK(outcome_line->field("code") == "deadline_passed");
    CHECK(find_outcome(lines, "r1.4") == nullptr);
}
