/// Translation of the registry's entries into the product's configuration and host list.

#include "platform/document_revision.hpp"
#include "platform/registry_binding.hpp"
#include "platform/registry_documents.hpp"

#include "base/digest.hpp"

#include <doctest/doctest.h>

using namespace caraway;
using namespace caraway::registry;

namespace {

constexpr std::uint16_t link_port = 7000;

std::string entry_text(std::string const& state = "ready", std::string const& extra = "") {
    return R"({"service":"front","address":"10.0.0.1:8080","zone":"north","version":"v1","slots":57,"state":")" +
           state + R"(","cold-remaining-ms":1200,"seq":4)" + extra + "}";
}

std::optional<target_entry> read(std::string const& text, std::string const& id = "i-1",
                                 std::uint64_t created = 5) {
    return parse_target(id, QByteArray::fromStdString(text), created, link_port);
}

configuration_pointer configuration_of(std::string const& text) {
    return attempt_or(
        [&]() -> result<configuration_pointer> {
            BOOST_LEAF_AUTO(new_bundle, parse_configuration(QByteArray::fromStdString(text)));
            return compile_bundle(new_bundle);
        },
        [](problem const& cause) -> configuration_pointer {
            FAIL(to_text(cause));
            return nullptr;
        });
}

std::string const published =
    R"({"version":7,"routes":[
      {"name":"browse","host":"shop.example","prefix":"/goods/","kind":"safe","timeout-ms":800,
       "target-latency-ms":1500,"priority":2,"traffic-split":[{"service":"front","weight":90},
       {"service":"back","weight":10}],"max-attempts":2,"public":false},
      {"name":"all","host":"shop.example","prefix":"/","kind":"download","priority":1,"service":"back",
       "max-attempts":1,"public":true},
      {"name":"order","host":"pay.example","prefix":"/goods/","kind":"unsafe","timeout-ms":1000,"priority":0,
       "service":"front","max-attempts":3}],
      "services":[{"name":"front","health-path":"/health","max-connections":442},{"name":"back"}],
      "tenants":[{"name":"parish","api-keys":["k1","k2"],"priority":1,"rate-per-s":72,"burst":10},
                 {"name":"free","api-keys":["k3"]}]})";

target_entry warming(double remaining_ms, double read_at) {
    target_entry entry;
    entry.listed.instance = "i-1";
    entry.listed.warm_up_ms = remaining_ms;
    entry.warming_since = {read_at};
    return entry;
}

} // namespace

// Each heartbeat has a smaller figure; a target that is cold again has a greater one, maybe the same as
// before.
// The drain time was a setting of its own, and a process with a shorter grace time was killed while it
// drained.
TEST_CASE("a node's drain ends before the platform's published grace time") {
    settings options;
    options.platform_parameters = "drain-ms=2000,grace-s=3,loss-slack-ms=200";
    auto const grace = registry::make_registry_binding(options).traits.stop_grace;
    CHECK(drain_time_within(grace, 60'000) == 2500);
    CHECK(drain_time_within(grace, 1000) == 1000);
    CHECK(drain_time_within(duration{0}, 60'000) == 60'000);
}

TEST_CASE("the remaining time of a cold target changes the list when it ends or begins anew only") {
    auto const kept_after = [](double first, double then, double later_ms) {
        auto entry = warming(then, 1000 + later_ms);
        keep_warm_up(entry, warming(first, 1000));
        return entry.listed.warm_up_ms;
    };
    CHECK(kept_after(3000, 1500, 1500) == 3000);
    CHECK(kept_after(3000, 1900, 1500) == 3000);
    CHECK(kept_after(3000, 0, 3000) == 0);
    CHECK(kept_after(0, 3000, 3000) == 3000);
    CHECK(kept_after(3000, 2900, 3000) == 2900);
    CHECK(kept_after(3000, 3000, 2000) != 3000);
}

TEST_CASE("cold rate and time of a service are taken over, and figures that make no sense switch it off") {
    auto const service_of = [](std::string const& fields) {
        auto const text = R"({"version":1,"services":[{"name":"front")" + fields + "}]}";
        return *configuration_of(text)->find_service("front");
    };
    auto const cold = service_of(R"(,"cold-per-s":12.0,"cold-start-s":3.0,"health-path":"/health")");
    CHECK(cold.cold_rate == 12);
    CHECK(cold.cold_ms == 3000);
    CHECK(cold.health_path == "/health");
    for (auto const* none :
         {"", R"(,"cold-per-s":0,"cold-start-s":3)", R"(,"cold-per-s":-4,"cold-start-s":3)",
          R"(,"cold-per-s":"12","cold-start-s":3)"}) {
        CHECK(service_of(none).cold_rate == 0);
    }
    CHECK(service_of(R"(,"cold-per-s":12,"cold-start-s":-3)").cold_ms == 0);
    CHECK(service_of(R"(,"cold-per-s":12,"cold-start-s":1e300,"health-path":7)").cold_ms == 600'000);
}

TEST_CASE("a target's entry becomes a host named by its address, with instance, slots and state") {
    auto const entry = read(entry_text("draining", R"(,"born":1700000000000)"));
    REQUIRE(entry);
    CHECK(entry->listed == listed_host{.host = "10.0.0.1",
                                       .failure_domain = "north",
                                       .service = "front",
                                       .link = "10.0.0.1:7000",
                                       .leaving = true,
                                       .instance = "i-1",
                                       .started_ms = 1'700'000'000'000U,
                                       .slots = 57,
                                       .warm_up_ms = 1200});
}

TEST_CASE("an entry that is malformed or not a target's is ignored") {
    for (std::string const text :
         {std::string("\x01\xff", 2), std::string("[]"), std::string("{}"), entry_text("resting"),
          std::string(R"({"service":7,"address":"10.0.0.1:80","zone":"north","slots":5,"state":"ready"})"),
          std::string(R"({"service":"front","address":"nowhere","zone":"north","slots":5,"state":"ready"})"),
          std::string(
              R"({"service":"front","address":"10.0.0.1:80","zone":"north","slots":"5","state":"ready"})"),
          std::string(
              R"({"service":"front","address":"10.0.0.1:80","zone":"north","slots":0,"state":"ready"})"),
          std::string(R"({"service":"front","address":"10.0.0.1:80","slots":5,"state":"ready"})")}) {
        INFO(text);
        CHECK_FALSE(read(text));
    }
    CHECK_FALSE(read(entry_text(), ""));
}

TEST_CASE("of two entries with the same address, the one whose target started later is used") {
    auto old_one = *read(entry_text("ready", R"(,"born":1000)"), "i-old", 3);
    auto new_one = *read(entry_text("ready", R"(,"born":2000)"), "i-new", 8);
    new_one.listed.service = "back";
    auto const list = make_host_list({{"i-a", new_one}, {"i-b", old_one}}, 12);
    CHECK(list.revision == 12);
    REQUIRE(list.hosts.size() == 1);
    CHECK(list.hosts.front().instance == "i-new");
    CHECK(list.hosts.front().service == "back");
}

TEST_CASE("routes keep host, prefix, split, kind, limits and priority, and the longest prefix matches") {
    auto const read_back = configuration_of(published);
    REQUIRE(read_back);
    CHECK(read_back->revision() == 7);
    auto const* browse = read_back->find_route("GET", "shop.example:80", "/goods/7?x=1");
    REQUIRE(browse != nullptr);
    CHECK(browse->name == "browse");
    CHECK(browse->idempotent);
    CHECK(browse->deadline_ms == 800);
    CHECK(browse->latency_objective_ms == 1500);
    CHECK(browse->priority == priority_class::background);
    CHECK(browse->retry_allowance == 1);
    REQUIRE(browse->split.size() == 2);
    CHECK(browse->split.at(1).service == "back");
    CHECK(browse->split.at(1).weight == 10);
    auto const* all = read_back->find_route("POST", "shop.example", "/other");
    REQUIRE(all != nullptr);
    CHECK(all->allows_anonymous);
    CHECK(all->idempotent);
    CHECK(all->deadline_ms == 600'000);
    auto const* order = read_back->find_route("POST", "pay.example", "/goods/1");
    REQUIRE(order != nullptr);
    CHECK_FALSE(order->idempotent);
    CHECK_FALSE(order->requires_ticket);
    CHECK(order->retry_allowance == 2);
    CHECK(read_back->find_route("GET", "elsewhere.example", "/goods/1") == nullptr);
    CHECK(read_back->find_route("GET", "pay.example", "/goods") == nullptr);
}

TEST_CASE("keys are stored as hashes only, and an organisation may have no rate limit") {
    auto const read_back = configuration_of(published);
    REQUIRE(read_back);
    auto const* parish = read_back->find_organisation_by_key(sha256_hex("k2"));
    REQUIRE(parish != nullptr);
    CHECK(parish->name == "parish");
    CHECK(parish->rate == 72);
    CHECK(parish->burst == 10);
    CHECK(parish->is_limited());
    auto const* free = read_back->find_organisation_by_key(sha256_hex("k3"));
    REQUIRE(free != nullptr);
    CHECK_FALSE(free->is_limited());
    CHECK(read_back->find_organisation_by_key("k1") == nullptr);
}

// The registry's revisions go back when it comes back from a copy; the operator's versions only rise.
TEST_CASE("a configuration is ordered by the operator's version, and one without a version is refused") {
    auto const revision_of = [](std::string const& version) {
        auto const text = R"({"version":)" + version + R"(,"routes":[],"services":[],"tenants":[]})";
        return attempt_or(
            [&text]() -> result<std::uint64_t> {
                BOOST_LEAF_AUTO(new_bundle, parse_configuration(QByteArray::fromStdString(text)));
                BOOST_LEAF_AUTO(parsed, parse_manifest(new_bundle.manifest_text));
                return parsed.revision;
            },
            [](problem const&) { return std::uint64_t{0}; });
    };
    CHECK(revision_of("12") == 12);
    for (auto const* value : {"0", "-3", "1.5", "\"7\"", "null", "1e300"}) {
        CAPTURE(value);
        CHECK(revision_of(value) == 0);
    }
}

TEST_CASE("a later era follows every revision of an earlier one") {
    CHECK(make_document_revision(2, 1) > make_document_revision(1, 1'000'000'000));
    CHECK(epoch_of(make_document_revision(2, 5) + 3) == 2);
    CHECK(make_document_revision(2, 5) > make_document_revision(2, 4));
    CHECK(make_document_revision(0, 8) == make_document_revision(0, 7) + steps_per_revision);
    CHECK(make_document_revision(max_epoch, ~std::uint64_t{0}) > make_document_revision(max_epoch, 0));
}
