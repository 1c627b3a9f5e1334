/// A node accepts a bundle as it was made, and rejects one that was changed as a whole.

#include "config/bundle.hpp"
#include "support/property.hpp"

using namespace caraway;

namespace {

item_set make_items(int keys) {
    item_set items;
    auto const put = [&](std::string const& section, std::string const& item, std::string const& name,
                         auto value) { items[section][item][name].value = value; };
    put("organisations", "org", "rate", 5.0);
    put("organisations", "org", "burst", 5.0);
    put("failure_domains", "d", "weight", 1.0);
    put("services", "s", "slots", 1.0);
    put("services", "s", "connections", 1.0);
    for (int index = 0; index < keys; ++index) {
        auto digits = std::to_string(index);
        put("keys", "k" + digits, "organisation", std::string("org"));
        put("keys", "k" + digits, "sha256", std::string(64 - digits.size(), '0') + digits);
    }
    return items;
}

bundle make_bundle_or_fail(item_set const& items, std::uint64_t revision) {
    return attempt_or([&] { return make_bundle(items, revision); },
                      [](problem const& cause) -> bundle {
                          FAIL(to_text(cause));
                          return {};
                      });
}

result_code compile_code(bundle const& new_bundle) {
    return attempt_or(
        [&]() -> result<result_code> {
            BOOST_LEAF_CHECK(compile_bundle(new_bundle));
            return result_code::ok;
        },
        [](problem const& cause) { return cause.code; });
}

} // namespace

TEST_CASE("a bundle compiles, and a change of one key changes one small value") {
    auto items = make_items(5000);
    auto const before = make_bundle_or_fail(items, 1);
    CHECK(compile_code(before) == result_code::ok);
    items["keys"].erase("k77");
    auto const after = make_bundle_or_fail(items, 2);
    int changed = 0;
    for (auto const& [name, text] : after.values) {
        changed += before.values.at(name) == text ? 0 : 1;
        CHECK(text.size() < 100'000);
    }
    CHECK(changed == 1);
}

TEST_CASE("a bundle with a damaged or missing value is rejected as a whole") {
    auto const new_bundle = make_bundle_or_fail(make_items(50), 3);
    auto missing = new_bundle;
    missing.values.erase(missing.values.begin());
    CHECK(compile_code(missing) == result_code::configuration_digest);
    caraway::tests::check_property("damage", [&] {
        auto damaged = new_bundle;
        auto value = damaged.values.begin();
        std::advance(value, *rc::gen::inRange<std::size_t>(0, damaged.values.size()));
        auto& text = value->second;
        text[*rc::gen::inRange<std::size_t>(0, text.size())] ^= 1;
        RC_ASSERT(compile_code(damaged) == result_code::configuration_digest);
    });
}

TEST_CASE("the manifest parser does not crash on any text") {
    caraway::tests::check_property("any text", [] {
        auto const text = *rc::gen::arbitrary<std::string>();
        compile_code({text, {}});
    });
}
