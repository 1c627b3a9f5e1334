/// What holds of evacuated failure domains across restores of the platform from an older copy.

#include "node/domain_evacuations.hpp"
#include "platform/document_revision.hpp"

#include <doctest/doctest.h>

using namespace caraway;

namespace {

host_list list_of(std::uint64_t epoch, std::uint64_t revision, std::vector<evacuated_domain> domains = {}) {
    return {.revision = make_document_revision(epoch, revision), .evacuated_domains = std::move(domains)};
}

evacuated_domain requested(std::string const& name, std::uint64_t epoch, std::uint64_t revision) {
    return {.name = name, .since = make_document_revision(epoch, revision)};
}

constexpr time_point start{1000};
constexpr time_point after_grace{10'000};

} // namespace

TEST_CASE("evacuations follow the list, and only changes are reported") {
    domain_evacuations node;
    auto const changes = node.update(list_of(1, 10, {requested("a", 1, 10)}), start);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().is_evacuated);
    CHECK(node.update(list_of(1, 11, {requested("a", 1, 10)}), start + duration{5}).empty());
    CHECK(node.in_force().at("a").in_force_since == start);
    auto const ended = node.update(list_of(1, 12), start + duration{6});
    REQUIRE(ended.size() == 1);
    CHECK_FALSE(ended.front().is_evacuated);
    CHECK(node.run_periodic_tasks(after_grace).empty());
}

TEST_CASE("an evacuation that a copy lacks holds for the grace, and for good once it is written anew") {
    domain_evacuations node;
    node.update(list_of(1, 10, {requested("a", 1, 10)}), start);
    CHECK(node.update(list_of(2, 8), start).empty());
    CHECK(node.contains("a"));
    CHECK(node.is_kept_after_restore("a"));
    CHECK(node.update(list_of(2, 9), start + duration{500}).empty());
    SUBCASE("written anew and taken back within the grace") {
        CHECK(node.update(list_of(2, 10, {requested("a", 2, 10)}), start + duration{600}).empty());
        CHECK_FALSE(node.is_kept_after_restore("a"));
        CHECK(node.update(list_of(2, 11), start + duration{700}).size() == 1);
        CHECK_FALSE(node.contains("a"));
    }
    SUBCASE("not written anew") {
        CHECK(node.run_periodic_tasks(start + duration{1000}).empty());
        CHECK(node.run_periodic_tasks(after_grace).size() == 1);
        CHECK_FALSE(node.contains("a"));
    }
}

TEST_CASE("an evacuation that was taken back does not come back with a copy before the grace is over") {
    domain_evacuations node;
    node.update(list_of(1, 10, {requested("a", 1, 10)}), start);
    node.update(list_of(1, 20), start + duration{10});
    node.update(list_of(2, 15, {requested("a", 2, 10)}), start + duration{20});
    CHECK_FALSE(node.contains("a"));
    SUBCASE("the operator asks anew") {
        node.update(list_of(2, 17), start + duration{30});
        node.update(list_of(2, 18, {requested("a", 2, 18)}), start + duration{40});
        CHECK(node.contains("a"));
    }
    SUBCASE("the copy still holds it after the grace") {
        node.run_periodic_tasks(after_grace);
        CHECK(node.contains("a"));
    }
}

TEST_CASE("a node that starts takes the list as it is, of whatever epoch") {
    domain_evacuations node;
    node.update(list_of(7, 10, {requested("a", 7, 3)}), start);
    CHECK(node.contains("a"));
    node.update(list_of(7, 11), start);
    CHECK_FALSE(node.contains("a"));
}
