/// What a target states about itself in the header of an answer.
#include "http/target_statement.hpp"

#include "http/http_dialect.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace caraway;

namespace {

target_statement read(std::vector<std::string> const& limits, std::vector<std::string> const& leaving = {}) {
    http_dialect const dialect{.target_rate_limit = "Limit", .target_leaving = "Leaving"};
    boost::beast::http::fields header;
    for (auto const& limit : limits) {
        header.insert("Limit", limit);
    }
    for (auto const& value : leaving) {
        header.insert("Leaving", value);
    }
    return read_target_statement(dialect, header);
}

} // namespace

TEST_CASE("a stated limit is a finite decimal number that is not negative") {
    CHECK(read({"16.8"}).rate_limit == 16.8);
    CHECK(read({"0"}).rate_limit == 0.0);
    CHECK(read({"0.25"}).rate_limit == 0.25);
    CHECK(read({" 12 "}).rate_limit == 12.0);
    CHECK(read({"1000000000000"}).rate_limit == 1e12);
    CHECK_FALSE(read({}).rate_limit);
    CHECK_FALSE(read({}).has_unreadable_rate_limit);
}

TEST_CASE("a value that is not a rate neither sets nor ends a limit") {
    for (auto const* value : {"-1", "-0", "nan", "inf", "", "12/s", "1e3", "0x10"}) {
        CAPTURE(value);
        CHECK_FALSE(read({value}).rate_limit);
        CHECK(read({value}).has_unreadable_rate_limit);
    }
}

TEST_CASE("of several stated limits the lowest counts") {
    CHECK(read({"20", "5.5"}).rate_limit == 5.5);
    CHECK(read({"nan", "5.5"}).rate_limit == 5.5);
}

TEST_CASE("only the value 1 states that the target is leaving") {
    CHECK(read({}, {"1"}).leaving);
    CHECK_FALSE(read({}, {"0"}).leaving);
    CHECK_FALSE(read({}).leaving);
}

TEST_CASE("of several statements about leaving one is enough") {
    CHECK(read({}, {"0", "1"}).leaving);
    CHECK(read({}, {"1", "0"}).leaving);
    CHECK_FALSE(read({}, {"0", "2"}).leaving);
}

TEST_CASE("a remaining cold time that is negative or no number says nothing") {
    auto const cold_ms = [](std::string const& value) {
        boost::beast::http::fields header;
        header.set("Cold", value);
        return read_target_statement({.target_cold = "Cold"}, header).cold_ms;
    };
    CHECK(cold_ms("2785") == 2785.0);
    CHECK(cold_ms("0") == 0.0);
    for (auto const* value : {"-1", "nan", "", "soon"}) {
        CAPTURE(value);
        CHECK_FALSE(cold_ms(value));
    }
}

TEST_CASE("a load has three or four figures; any other text is no load, and a wrong work time is ignored") {
    auto const load_of = [](std::string const& text) {
        boost::beast::http::fields header;
        header.set("Load", text);
        return read_target_statement({.target_load = "Load"}, header).load;
    };
    auto const load = load_of(" 3, 0,8, 120.5 ");
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->waiting == 0);
    CHECK(load->slots == 8);
    CHECK(load->work_time_percent == 120.5);
    for (auto const* text :
         {"3,0,8", "3,0,8,", "3,0,8,x", "3,0,8,-5", "3,0,8,0", "3,0,8,1e9", "3,0,8,99999999"}) {
        CAPTURE(text);
        REQUIRE(load_of(text));
        CHECK_FALSE(load_of(text)->work_time_percent);
    }
    for (auto const* text : {"", "3", "3,0", "3,0,0", "-1,0,8", "3,-1,8", "a,0,8", "3,,8", "3,0,8,100,1",
                             "99999999999,0,8", "3,0,8.5", "3;0;8"}) {
        CAPTURE(text);
        CHECK_FALSE(load_of(text));
    }
}
