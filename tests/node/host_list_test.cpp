/// Which hosts are in force after a list that contains unconfirmed ones.
#include "node/host_list.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace caraway;

namespace {

listed_host host(std::string const& name, std::string const& instance = "i-1") {
    return {.host = name,
            .failure_domain = "north",
            .service = "front",
            .link = "10.0.0.1:7000",
            .instance = instance};
}

listed_host unconfirmed(listed_host entry) {
    entry.unconfirmed = true;
    return entry;
}

bool contains(std::vector<listed_host> const& hosts, std::string const& name) {
    return std::ranges::find(hosts, name, &listed_host::host) != hosts.end();
}

} // namespace

TEST_CASE("an unconfirmed host stays in force where it already is and is not added elsewhere") {
    host_list const newer{.revision = 7, .hosts = {host("10.0.0.1"), unconfirmed(host("10.0.0.2"))}};
    CHECK(contains(merge_host_list({host("10.0.0.1"), host("10.0.0.2")}, newer), "10.0.0.2"));
    CHECK_FALSE(contains(merge_host_list({host("10.0.0.1")}, newer), "10.0.0.2"));
    SUBCASE("another incarnation of the target at the same address is not the one in force") {
        CHECK_FALSE(
            contains(merge_host_list({host("10.0.0.1"), host("10.0.0.2", "i-9")}, newer), "10.0.0.2"));
    }
    SUBCASE("a node that has no list yet uses all hosts") {
        CHECK(contains(merge_host_list({}, newer), "10.0.0.2"));
    }
}

TEST_CASE("replicating a list preserves which of its hosts are unconfirmed") {
    host_list const sent{.revision = 7, .hosts = {host("10.0.0.1"), unconfirmed(host("10.0.0.2"))}};
    auto const read = attempt_or(
        [&]() -> result<host_list> {
            BOOST_LEAF_AUTO(parsed, parse_host_list(host_list_to_json(sent)));
            return parse_host_list_bundle(make_host_list_bundle(parsed));
        },
        [](problem const&) { return host_list{}; });
    REQUIRE(read.hosts.size() == 2);
    CHECK(std::ranges::is_permutation(read.hosts, sent.hosts));
}

// A reader that has just started reads a copy of the registry in which a target that drains is still live.
TEST_CASE("a target that is leaving does not become live again under the same incarnation") {
    auto draining = host("10.0.0.1");
    draining.leaving = true;
    host_list const from_copy{.revision = 7, .hosts = {host("10.0.0.1")}};
    CHECK(merge_host_list({draining}, from_copy).front().leaving);
    SUBCASE("a new incarnation is live") {
        auto restarted = host("10.0.0.1");
        restarted.started_ms = 5;
        CHECK_FALSE(merge_host_list({draining}, {7, {restarted}}).front().leaving);
        CHECK_FALSE(merge_host_list({draining}, {7, {host("10.0.0.1", "i-2")}}).front().leaving);
    }
    SUBCASE("without an instance nothing tells incarnations apart") {
        auto anonymous = host("10.0.0.1", "");
        anonymous.leaving = true;
        CHECK_FALSE(merge_host_list({anonymous}, {7, {host("10.0.0.1", "")}}).front().leaving);
    }
}

TEST_CASE("a list carries its evacuated domains as text and as values, and an older list has none") {
    host_list const sent{
        .revision = 7, .hosts = {host("10.0.0.1")}, .evacuated_domains = {{"south", 9}, {"north", 5}}};
    auto const read = attempt_or(
        [&]() -> result<host_list> {
            BOOST_LEAF_AUTO(parsed, parse_host_list(host_list_to_json(sent)));
            return parse_host_list_bundle(make_host_list_bundle(parsed));
        },
        [](problem const&) { return host_list{}; });
    CHECK(std::ranges::is_permutation(read.evacuated_domains, sent.evacuated_domains));
    CHECK_FALSE(make_host_list_bundle({.revision = 7, .hosts = sent.hosts}).values.contains("domains"));
    auto const parse = [](std::string const& text) {
        return attempt_or(
            [&]() -> result<int> {
                BOOST_LEAF_AUTO(list, parse_host_list(text));
                return static_cast<int>(list.evacuated_domains.size());
            },
            [](problem const&) { return -1; });
    };
    CHECK(parse(R"({"revision":"1","hosts":[]})") == 0);
    CHECK(parse(R"({"revision":"1","evacuated_domains":[{"name":"a"},{"name":"a","since":"x"}]})") == 1);
    CHECK(parse(R"({"revision":"1","evacuated_domains":[{"since":"3"}]})") == -1);
}
