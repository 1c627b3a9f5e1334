/// Reading and watching the registry across pages, lost history, outages and silent connections.

#include "platform/followed_registry.hpp"

#include <algorithm>

using namespace caraway;
using namespace caraway::registry;

TEST_CASE("all pages are read, and later changes are reported") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.list.hosts.size() == 3 && watched.configurations == 1; }));
    watched.registry.put("servers/i-4", entry_text(4));
    CHECK(watched.wait_for([&] { return watched.list.hosts.size() == 4; }));
    watched.registry.put("servers/i-2", entry_text(2, "draining"));
    CHECK(watched.wait_for(
        [&] { return std::ranges::count(watched.list.hosts, true, &listed_host::leaving) == 1; }));
    watched.registry.remove("servers/i-1");
    CHECK(watched.wait_for([&] { return watched.list.hosts.size() == 3; }));
    watched.registry.put("servers/i-9", "\x01 not an entry");
    watched.registry.put("op/config", configuration_text(2));
    CHECK(watched.wait_for([&] { return watched.configurations == 2; }));
    CHECK(watched.list.hosts.size() == 3);
}

TEST_CASE("a heartbeat without a change publishes no new host list") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.list.hosts.size() == 3; }));
    auto const before = watched.list.revision;
    watched.registry.put("servers/i-1", entry_text(1));
    watched.registry.put("op/config", configuration_text(2));
    REQUIRE(watched.wait_for([&] { return watched.configurations == 2; }));
    CHECK(watched.list.revision == before);
}

TEST_CASE("when the registry has dropped its history, everything is read again") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.list.hosts.size() == 3; }));
    watched.registry.set_fault(registry_fault::down);
    REQUIRE(watched.wait_for([&] { return watched.failures > 0; }));
    watched.registry.put("servers/i-5", entry_text(5));
    watched.registry.compact();
    watched.registry.set_fault(registry_fault::none);
    CHECK(watched.wait_for([&] { return watched.list.hosts.size() == 4; }));
}

TEST_CASE("an entry that disappears during an outage of the registry is not removed at once") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.list.hosts.size() == 3; }));
    watched.registry.set_fault(registry_fault::down);
    REQUIRE(watched.wait_for([&] { return watched.failures > 2; }));
    watched.registry.remove("servers/i-1");
    watched.registry.set_fault(registry_fault::none);
    watched.registry.put("op/config", configuration_text(2));
    REQUIRE(watched.wait_for([&] { return watched.configurations == 2; }));
    CHECK(watched.list.hosts.size() == 3);
    CHECK(watched.wait_for([&] { return watched.list.hosts.size() == 2; }));
}

TEST_CASE("a silent connection times out and is replaced by a new one") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.list.hosts.size() == 3; }));
    watched.registry.set_fault(registry_fault::silent);
    REQUIRE(watched.wait_for([&] { return watched.failures > 0; }));
    watched.registry.set_fault(registry_fault::none);
    watched.registry.put("servers/i-6", entry_text(6));
    CHECK(watched.wait_for([&] { return watched.list.hosts.size() == 4; }));
}

TEST_CASE("a source that was cut off does not bring back a target that left in the meantime") {
    followed_registry watched;
    standins::fault_proxy proxy("127.0.0.1", next_port(), "127.0.0.1", watched.port);
    settings options;
    options.link = {"127.0.0.1", 7000};
    options.platform_url = "http://127.0.0.1:" + std::to_string(watched.port + 1);
    host_list cut_off_list;
    int failures = 0;
    registry_source cut_off(
        options, platform_callbacks{.on_configuration = [](bundle&&) {},
                                    .on_hosts =
                                        [&](std::string&& text) {
                                            cut_off_list =
                                                attempt_or([&] { return parse_host_list(text); },
                                                           [](problem const&) { return host_list{}; });
                                        },
                                    .on_failure = [&](std::string const&) { ++failures; }});
    cut_off.set_active(true);
    REQUIRE(
        watched.wait_for([&] { return watched.list.hosts.size() == 3 && cut_off_list.hosts.size() == 3; }));
    proxy.set_fault(standins::link_fault::cut, [](std::string const&) { return true; });
    REQUIRE(watched.wait_for([&] { return failures > 2; }));
    watched.registry.remove("servers/i-1");
    REQUIRE(watched.wait_for([&] { return watched.list.hosts.size() == 2; }));
    watched.registry.put("op/config", configuration_text(2));
    watched.registry.compact();
    auto const before = cut_off_list.revision;
    proxy.clear();
    REQUIRE(watched.wait_for([&] { return cut_off_list.revision > before; }));
    // Every node accepts a list with a higher revision, so the list must not bring back a target that left.
    CHECK(merge_host_list(watched.list.hosts, cut_off_list).size() == 2);
    // Nodes that use this list must learn when the unconfirmed entry expires, so that list needs a still
    // higher revision.
    auto const revision_with_unconfirmed = cut_off_list.revision;
    watched.registry.put("op/config", configuration_text(3));
    REQUIRE(watched.wait_for([&] { return cut_off_list.hosts.size() == 2; }));
    CHECK(cut_off_list.revision > revision_with_unconfirmed);
}

// After the registry came back from a copy, a new version got a revision that a former one had, and no reader
// took it.
TEST_CASE("a configuration that is stored after the registry came back from a copy comes into force") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.configurations == 1; }));
    watched.registry.take_copy();
    watched.registry.put("op/config", configuration_text(5));
    REQUIRE(watched.wait_for([&] { return watched.configurations == 2; }));
    watched.registry.put("op/config", configuration_text(7));
    REQUIRE(watched.wait_for([&] { return watched.configurations == 3; }));
    auto const before = watched.configuration_revision();
    watched.registry.restore();
    watched.registry.put("op/config", configuration_text(9));
    REQUIRE(watched.wait_for([&] { return watched.configurations == 4; }));
    CHECK(watched.configuration_revision() > before);
}

// The copy held an older configuration; its position in the new era is higher than that of the one in force.
TEST_CASE("a copy of the registry does not bring back an older configuration") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.configurations == 1; }));
    watched.registry.take_copy();
    watched.registry.put("op/config", configuration_text(5));
    REQUIRE(watched.wait_for([&] { return watched.configurations == 2; }));
    watched.restore();
    // The operator writes the lost version again, and then the next one.
    watched.registry.put("op/config", configuration_text(5));
    watched.registry.put("op/config", configuration_text(6));
    REQUIRE(watched.wait_for([&] { return watched.configuration_revision() == 6; }));
    CHECK(watched.configurations == 3);
}

// Requests went on to a target that had left, or not to one that lived, until the writers had written again.
TEST_CASE("a copy brings back no target that has left, and a living target that it lacks is kept") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.list.hosts.size() == 3; }));
    watched.registry.take_copy();
    watched.registry.put("servers/i-1", entry_text(1, "draining", 4));
    REQUIRE(watched.wait_for([&] { return watched.lists_as_leaving(1); }));
    watched.registry.remove("servers/i-1");
    watched.registry.put("servers/i-2", entry_text(2, "draining", 4));
    watched.registry.put("servers/i-4", entry_text(4, "ready", 2));
    REQUIRE(watched.wait_for(
        [&] { return !watched.lists(1) && watched.lists_as_leaving(2) && watched.lists(4); }));
    auto const before = watched.list.revision;
    watched.restore();
    REQUIRE(watched.wait_for([&] { return watched.list.revision > before; }));
    CHECK_FALSE(watched.lists(1));
    CHECK(watched.lists_as_leaving(2));
    CHECK(watched.lists(3));
    CHECK(watched.lists(4));
    watched.registry.put("servers/i-4", entry_text(4, "ready", 3));
    auto const outlasts_grace = [start = monotonic_clock::now()] {
        return monotonic_clock::now() - start > duration{3000};
    };
    REQUIRE(watched.wait_for(outlasts_grace));
    CHECK(watched.lists(4));
}

// Heartbeats need not raise the registry's revision, and a list without a higher revision is taken by nobody.
TEST_CASE("a target that does not return after an outage is gone, also when nothing else changes") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.list.hosts.size() == 3; }));
    watched.registry.take_copy();
    watched.registry.put("servers/i-4", entry_text(4, "ready", 2));
    REQUIRE(watched.wait_for([&] { return watched.lists(4); }));
    watched.restore();
    auto const before = watched.list.revision;
    REQUIRE(watched.wait_for([&] { return watched.list.revision > before; }));
    REQUIRE(watched.lists(4));
    auto const unconfirmed = watched.list.revision;
    CHECK(watched.wait_for([&] { return !watched.lists(4); }));
    CHECK(watched.list.revision > unconfirmed);
    SUBCASE("and a later change of the registry is published, too") {
        watched.registry.put("servers/i-5", entry_text(5));
        CHECK(watched.wait_for([&] { return watched.lists(5); }));
    }
}

TEST_CASE("a second restore before the first one is digested loses no later change") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.list.hosts.size() == 3; }));
    watched.registry.take_copy();
    watched.registry.put("op/config", configuration_text(3));
    REQUIRE(watched.wait_for([&] { return watched.configurations == 2; }));
    watched.restore();
    watched.registry.restore();
    watched.registry.put("op/config", configuration_text(4));
    watched.registry.put("servers/i-4", entry_text(4));
    CHECK(watched.wait_for([&] { return watched.configuration_revision() == 4 && watched.lists(4); }));
}

// An answer that was on its way, or of another copy, would set the order back.
TEST_CASE("answers of an earlier era are not used, and an era that is not a number changes nothing") {
    followed_registry watched;
    watched.registry.set_era("7");
    watched.registry.put("op/config", configuration_text(2));
    REQUIRE(watched.wait_for([&] { return watched.configuration_revision() == 2; }));
    SUBCASE("earlier") {
        watched.registry.set_era("6");
        watched.registry.put("op/config", configuration_text(3));
        auto const before = watched.failures;
        REQUIRE(watched.wait_for([&] { return watched.failures > before + 1; }));
        CHECK(watched.configuration_revision() == 2);
        watched.registry.set_era("9");
    }
    SUBCASE("not a number") {
        watched.registry.set_era("abc");
    }
    SUBCASE("too large") {
        watched.registry.set_era("99999999999999999999");
    }
    SUBCASE("no longer stated") {
        watched.registry.set_era("");
    }
    watched.registry.put("op/config", configuration_text(4));
    CHECK(watched.wait_for([&] { return watched.configuration_revision() == 4; }));
}

// One error page with a later era, from whatever answered in place of the registry, made each answer of the
// registry one of an era that was over.
TEST_CASE("the era of an answer that failed is not taken for the registry's") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.configuration_revision() == 1; }));
    auto const wait_for_failures = [&watched](int count) {
        auto const before = watched.failures;
        REQUIRE(watched.wait_for([&] { return watched.failures >= before + count; }));
    };
    watched.registry.set_fault(registry_fault::down);
    wait_for_failures(2);
    watched.registry.set_era("999");
    wait_for_failures(2);
    watched.registry.set_era("1");
    watched.registry.set_fault(registry_fault::none);
    watched.registry.put("op/config", configuration_text(4));
    CHECK(watched.wait_for([&] { return watched.configuration_revision() == 4; }));
    CHECK(std::ranges::count(watched.notices, "registry_era_changed") == 0);
}
