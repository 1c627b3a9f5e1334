/// Failure domains that the operator evacuates: seen by watch and by a full read, repeated, damaged, unknown,
/// and across a restore of the registry from a copy.

#include "node/domain_evacuations.hpp"
#include "platform/followed_registry.hpp"

#include <algorithm>

using namespace caraway;
using namespace caraway::registry;

namespace {

std::string const north_key = "op/evacuate/north";

bool evacuates(host_list const& list, std::string const& domain) {
    return std::ranges::find(list.evacuated_domains, domain, &evacuated_domain::name) !=
           list.evacuated_domains.end();
}

/// Applies each list that the source publishes, as a node does.
void follow(followed_registry& watched, domain_evacuations& node) {
    node.update(watched.list, monotonic_clock::now());
}

} // namespace

TEST_CASE("an evacuated domain is listed when a watch tells it, and no longer when a watch tells that") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.list.hosts.size() == 3; }));
    watched.registry.put(north_key, "{}");
    REQUIRE(watched.wait_for([&] { return evacuates(watched.list, "north"); }));
    auto const revision = watched.list.revision;
    CHECK(watched.list.evacuated_domains.front().since <= revision);
    watched.registry.remove(north_key);
    CHECK(watched.wait_for([&] { return !evacuates(watched.list, "north"); }));
    CHECK(watched.list.revision > revision);
}

TEST_CASE("an evacuation that begins or ends while the history is lost is seen by the full read") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.list.hosts.size() == 3; }));
    auto const change_unseen = [&watched](std::function<void()> const& change) {
        watched.registry.set_fault(registry_fault::down);
        auto const before = watched.failures;
        REQUIRE(watched.wait_for([&] { return watched.failures > before; }));
        change();
        watched.registry.compact();
        watched.registry.set_fault(registry_fault::none);
    };
    change_unseen([&] { watched.registry.put(north_key, "{}"); });
    REQUIRE(watched.wait_for([&] { return evacuates(watched.list, "north"); }));
    change_unseen([&] { watched.registry.remove(north_key); });
    CHECK(watched.wait_for([&] { return !evacuates(watched.list, "north"); }));
}

TEST_CASE("a source that starts while a domain is evacuated lists it with its first read") {
    followed_registry watched;
    watched.registry.put(north_key, "{}");
    REQUIRE(watched.wait_for([&] { return watched.list.hosts.size() == 3; }));
    CHECK(watched.wait_for([&] { return evacuates(watched.list, "north"); }));
}

TEST_CASE("an evacuation that is written or removed again changes no list") {
    followed_registry watched;
    watched.registry.put(north_key, "{}");
    REQUIRE(watched.wait_for([&] { return evacuates(watched.list, "north"); }));
    auto const first = watched.list.revision;
    watched.registry.put(north_key, "{}");
    watched.registry.put(north_key, "not readable");
    watched.read_on(2);
    CHECK(watched.list.revision == first);
    watched.registry.remove(north_key);
    REQUIRE(watched.wait_for([&] { return !evacuates(watched.list, "north"); }));
    auto const second = watched.list.revision;
    watched.registry.remove(north_key);
    watched.read_on(3);
    CHECK(watched.list.revision == second);
}

TEST_CASE("an unknown domain, a key without a name and an unreadable value are logged once and ignored") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.list.hosts.size() == 3; }));
    for (int repeat = 0; repeat < 3; ++repeat) {
        watched.registry.put("op/evacuate/nowhere", "{}");
        watched.registry.put("op/evacuate/", "{}");
        watched.registry.put("op/evacuate/south", "\x02 damaged");
    }
    watched.read_on(2);
    CHECK(watched.list.evacuated_domains.empty());
    CHECK(watched.list.hosts.size() == 3);
    CHECK(std::ranges::count(watched.notices, std::string("evacuation_ignored")) == 3);
    // It is no longer unknown once a target of the domain has registered.
    watched.registry.put("servers/i-7", R"({"service":"front","address":"10.0.0.7:8080","zone":"nowhere",)"
                                        R"("slots":5,"born":1700000000000,"state":"ready","seq":1})");
    CHECK(watched.wait_for([&] { return evacuates(watched.list, "nowhere"); }));
}

TEST_CASE(
    "an evacuation that a copy of the registry lacks stays in force until the operator can write again") {
    followed_registry watched;
    domain_evacuations node;
    REQUIRE(watched.wait_for([&] { return watched.list.hosts.size() == 3; }));
    watched.registry.take_copy();
    watched.registry.put(north_key, "{}");
    REQUIRE(watched.wait_for([&] { return evacuates(watched.list, "north"); }));
    follow(watched, node);
    watched.restore();
    REQUIRE(watched.wait_for([&] { return !evacuates(watched.list, "north"); }));
    follow(watched, node);
    CHECK(node.contains("north"));
    SUBCASE("written again") {
        watched.registry.put(north_key, "{}");
        REQUIRE(watched.wait_for([&] { return evacuates(watched.list, "north"); }));
        follow(watched, node);
        node.run_periodic_tasks(monotonic_clock::now() + duration{10'000});
        CHECK(node.contains("north"));
        watched.registry.remove(north_key);
        REQUIRE(watched.wait_for([&] { return !evacuates(watched.list, "north"); }));
        follow(watched, node);
        CHECK_FALSE(node.contains("north"));
    }
    SUBCASE("not written again") {
        node.run_periodic_tasks(monotonic_clock::now() + duration{10'000});
        CHECK_FALSE(node.contains("north"));
    }
}

TEST_CASE("a copy of the registry does not bring back an evacuation that was taken back") {
    followed_registry watched;
    domain_evacuations node;
    watched.registry.put(north_key, "{}");
    REQUIRE(watched.wait_for([&] { return evacuates(watched.list, "north"); }));
    follow(watched, node);
    watched.registry.take_copy();
    watched.registry.remove(north_key);
    REQUIRE(watched.wait_for([&] { return !evacuates(watched.list, "north"); }));
    follow(watched, node);
    watched.restore();
    REQUIRE(watched.wait_for([&] { return evacuates(watched.list, "north"); }));
    follow(watched, node);
    CHECK_FALSE(node.contains("north"));
    watched.registry.remove(north_key);
    REQUIRE(watched.wait_for([&] { return !evacuates(watched.list, "north"); }));
    SUBCASE("a new request counts at once") {
        watched.registry.put(north_key, "{}");
        REQUIRE(watched.wait_for([&] { return evacuates(watched.list, "north"); }));
        follow(watched, node);
        CHECK(node.contains("north"));
    }
}
