/// Changes of keys and configuration take effect on all nodes within seconds, are never rolled back to an
/// older revision, and are rejected as a whole when invalid.

#include "config/configuration_review.hpp"
#include "standins/test_client.hpp"
#include "system/support.hpp"

#include <csignal>
#include <thread>

using namespace caraway;
using namespace caraway::tests;

namespace {

/// The requirement is "within seconds"; the target for the fleet is four.
constexpr auto propagation_limit = std::chrono::seconds(4);
constexpr auto withdrawal_limit = std::chrono::seconds(5);

std::string without_key(std::string configuration, std::string const& name) {
    auto const begin = configuration.find("[keys." + name + "]");
    auto const end = configuration.find('[', begin + 1);
    return configuration.erase(begin, end - begin);
}

/// Whether every running node rejects the second key on its open connection within the limit.
bool key_rejected_everywhere(fleet& system, std::vector<std::unique_ptr<test_client>>& connections,
                             std::string const& path) {
    return wait_until(
        [&] {
            for (std::size_t index = 0; index < connections.size(); ++index) {
                if (system.node(index).process > 0 &&
                    connections[index]->request("GET", path, with_key(second_key)).status != 401) {
                    return false;
                }
            }
            return true;
        },
        withdrawal_limit);
}

std::vector<std::unique_ptr<test_client>> open_connections(fleet& system, std::string const& path) {
    std::vector<std::unique_ptr<test_client>> connections;
    for (std::size_t index = 0; index < system.size(); ++index) {
        connections.push_back(std::make_unique<test_client>(system.node(index).ip, callers_port));
        CHECK(connections.back()->request("GET", path, with_key(second_key)).status == 200);
    }
    return connections;
}

} // namespace

TEST_CASE("a withdrawn key is rejected within seconds, also on open connections") {
    fleet system({.configuration = base_configuration(), .hosts = flat_hosts()});
    REQUIRE(system.wait_ready());
    auto connections = open_connections(system, "/front");
    SUBCASE("without faults") {
        system.publish(without_key(base_configuration(), "second"));
        CHECK(key_rejected_everywhere(system, connections, "/front"));
    }
    SUBCASE("while only one failure domain can reach the platform") {
        system.platform_proxy("a").set_fault(link_fault::cut, [](std::string const&) { return true; });
        system.publish(without_key(base_configuration(), "second"));
        CHECK(key_rejected_everywhere(system, connections, "/front"));
    }
    SUBCASE("a restarted node does not return to an older configuration that the platform serves") {
        system.platform().set_fault(platform_fault::stale);
        auto const calls_while_stale = system.platform().call_count();
        CHECK(calls_while_stale > 0);
        // The fleet reads the latest configuration before the platform serves the older one again.
        system.platform().set_fault(platform_fault::none);
        auto const revision = system.publish(without_key(base_configuration(), "second"));
        REQUIRE(wait_configuration_revision(system, revision, propagation_limit));
        CHECK(key_rejected_everywhere(system, connections, "/front"));
        system.platform().publish(system.published_bundle(1));
        system.kill(0);
        system.start(0);
        bool was_accepted = false;
        auto const until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (std::chrono::steady_clock::now() < until) {
            was_accepted =
                was_accepted || system.call(0, "GET", "/front", with_key(second_key)).status == 200;
        }
        CHECK_FALSE(was_accepted);
        CHECK(system.call(0, "GET", "/front", with_key()).status == 200);
        CHECK(system.status_field(0, "configuration_revision") == std::to_string(revision));
    }
}

TEST_CASE("a configuration takes effect on every node within the limit, with few calls to the platform") {
    fleet system({.configuration = base_configuration(), .hosts = chain_hosts()});
    REQUIRE(system.wait_ready());
    auto const calls_before = system.platform().call_count();
    for (int round = 0; round < 5; ++round) {
        auto const revision = system.publish(base_configuration(1000 + round));
        CHECK(wait_configuration_revision(system, revision, propagation_limit));
    }
    // Three nodes in each of two failure domains read from the platform. Each change costs a watch and a read
    // of the value, and there are the watches in progress.
    auto const calls = system.platform().call_count() - calls_before;
    INFO("platform calls: " << calls);
    CHECK(calls <= 5 * 6 * 3);
}

TEST_CASE("a node tells operators the configuration that it has in force, so that files can be compared") {
    fleet system({.configuration = base_configuration(), .hosts = flat_hosts()});
    REQUIRE(system.wait_ready());
    auto const revision = system.publish(base_configuration(50, 5));
    REQUIRE(wait_configuration_revision(system, revision, propagation_limit));
    auto const answer =
        fetch(system.node(0).ip, operators_port, "GET", "/configuration", {}, "", std::chrono::seconds(2));
    auto const items_of = [](bundle const& content) {
        return attempt_or([&] { return bundle_items(content); }, [](problem const&) { return item_set{}; });
    };
    auto const in_force =
        attempt_or([&] { return bundle_from_json(answer.body); }, [](problem const&) { return bundle{}; });
    CHECK(in_force.manifest_text == system.published_bundle(revision).manifest_text);
    CHECK(items_of(in_force).size() == items_of(system.published_bundle(revision)).size());
    CHECK(compare_items(items_of(in_force), items_of(system.published_bundle(revision))).empty());
}

TEST_CASE("every node rejects an invalid configuration as a whole and keeps the last valid one") {
    fleet system({.configuration = base_configuration(), .hosts = flat_hosts()});
    REQUIRE(system.wait_ready());
    auto invalid_bundle = system.published_bundle(1);
    auto const revision_position = invalid_bundle.manifest_text.find("\"revision\":\"1\"");
    REQUIRE(revision_position != std::string::npos);
    invalid_bundle.manifest_text.replace(revision_position, 14, "\"revision\":\"7\"");
    SUBCASE("a value that does not match its digest") {
        auto const old_digest = value_digest(invalid_bundle.values["routes.0"]);
        invalid_bundle.values["routes.0"] += " ";
        invalid_bundle.manifest_text.replace(invalid_bundle.manifest_text.find(old_digest), old_digest.size(),
                                             value_digest("something else"));
    }
    SUBCASE("an invalid value with a matching digest") {
        auto const old_digest = value_digest(invalid_bundle.values["routes.0"]);
        invalid_bundle.values["routes.0"] = "{\"section\":\"routes\",\"items\":{\"x\":{\"speed\":1}}}";
        invalid_bundle.manifest_text.replace(invalid_bundle.manifest_text.find(old_digest), old_digest.size(),
                                             value_digest(invalid_bundle.values["routes.0"]));
    }
    system.platform().publish(invalid_bundle);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    for (std::size_t index = 0; index < system.size(); ++index) {
        CHECK(system.status_field(index, "configuration_revision") == "1");
        CHECK(system.call(index, "GET", "/front", with_key()).status == 200);
    }
    // The next valid configuration is accepted.
    system.skip_revisions(7);
    auto const next = system.publish(base_configuration(500));
    CHECK(wait_configuration_revision(system, next, propagation_limit));
}

TEST_CASE("with the platform down, requests are served and a restarted node is configured by its peers") {
    fleet system({.configuration = base_configuration(), .hosts = flat_hosts()});
    REQUIRE(system.wait_ready());
    system.platform().set_fault(platform_fault::down);
    CHECK(system.call(1, "GET", "/front", with_key()).status == 200);
    system.kill(0);
    system.set_seeds(true);
    system.start(0);
    CHECK(system.wait_ready());
    CHECK(system.call(0, "GET", "/front", with_key()).status == 200);
}
