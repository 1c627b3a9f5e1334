/// The table of result codes is consistent, and docs/CODES.md has the same rows.

#include "base/result_code.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

using namespace caraway;

TEST_CASE("result numbers and names are unique, and every number can be looked up") {
    std::set<std::string_view> names;
    int last = -1;
    for (auto const& entry : result_codes()) {
        int const number = static_cast<int>(entry.code);
        CHECK(number > last);
        last = number;
        CHECK(names.insert(entry.name).second);
        CHECK(result_code_from_number(static_cast<std::uint16_t>(number)) == entry.code);
        CHECK_FALSE(entry.meaning.empty());
        CHECK_FALSE(entry.remedy.empty());
    }
    CHECK_FALSE(result_code_from_number(9999));
}

TEST_CASE("docs/CODES.md has a row for every code and no other") {
    std::ifstream stream(std::string(SOURCE_PATH) + "/docs/CODES.md");
    REQUIRE(stream);
    std::set<std::string> rows;
    std::string line;
    while (std::getline(stream, line)) {
        if (line.starts_with("| ") && line[2] >= '0' && line[2] <= '9') {
            rows.insert(line);
        }
    }
    CHECK(rows.size() == result_codes().size());
    for (auto const& entry : result_codes()) {
        std::ostringstream row;
        row << "| " << static_cast<int>(entry.code) << " | `" << entry.name << "` | "
            << (entry.http_status == 0 ? "-" : std::to_string(entry.http_status)) << " | " << entry.meaning
            << " | " << entry.remedy << " |";
        CHECK(rows.contains(row.str()));
    }
}
