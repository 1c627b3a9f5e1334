/// What an operator sees of emptied failure domains and of cold targets, from the pages of several nodes.

#include "fleet_view.hpp"

#include <doctest/doctest.h>

#include <QJsonArray>

using namespace caraway;

namespace {

QJsonObject status_of(QString const& host, QJsonArray const& domains, double cold_ms,
                      QJsonArray const& peers) {
    return {{"host", host},
            {"failure_domain", "a"},
            {"service", "front"},
            {"evacuated_domains", domains},
            {"target", QJsonObject{{"cold_ms", cold_ms}, {"cold_reason", "new_incarnation"}}},
            {"peers", peers}};
}

QJsonArray evacuated(double since, double in_force_ms) {
    return {QJsonObject{{"domain", "b"}, {"since_revision", since}, {"in_force_ms", in_force_ms}}};
}

QJsonObject peer(QString const& host, double cold_ms) {
    return {{"host", host}, {"failure_domain", "b"}, {"service", "leaf"}, {"target_cold_ms", cold_ms}};
}

} // namespace

TEST_CASE("an evacuation that has not reached a node yet is seen as such") {
    fleet_view view;
    view.add(status_of("h1", evacuated(7, 900), 0, {}));
    CHECK(view.is_uniform());
    view.add(status_of("h2", {}, 0, {}));
    CHECK_FALSE(view.is_uniform());
    view.add(status_of("h3", evacuated(7, 1200), 0, {}));
    REQUIRE(view.domains().size() == 1);
    auto const& domain = view.domains().at("b");
    CHECK(domain.node_count == 2);
    CHECK(domain.since == 7);
    CHECK(domain.in_force_ms == 1200);
    CHECK(view.targets().empty());
}

TEST_CASE("of a cold target its own host is believed, and otherwise who takes it as cold for longest") {
    fleet_view view;
    view.add(status_of("h1", {}, 0, {peer("h2", 400), peer("h3", 100)}));
    view.add(status_of("h2", {}, 2500, {peer("h1", 3000), peer("h3", 300)}));
    view.add(status_of("h4", {}, 0, {peer("h3", 200)}));
    auto const targets = view.targets();
    REQUIRE(targets.size() == 2);
    CHECK(targets.at("h2").cold_ms == 2500);
    CHECK(targets.at("h2").cold_reason == "new_incarnation");
    CHECK(targets.at("h3").cold_ms == 300);
    CHECK(targets.at("h3").service == "leaf");
    CHECK(view.to_json().value("targets").toArray().size() == 2);
}
