/// What `bundle` makes is what a node reads; anything else is refused whole.

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

bundle must_make(item_set const& items, std::uint64_t revision) {
    return attempt_or([&] { return make_bundle(items, revision); },
                      [](problem const& cause) -> bundle {
                          FAIL(to_text(cause));
                          return {};
                      });
}

result_code compile_code(bundle const& made) {
    return attempt_or(
        [&]() -> result<result_code> {
            BOOST_LEAF_CHECK(compile_bundle(made));
            return result_code::ok;
        },
        [](problem const& cause) { return cause.code; });
}

} // namespace

TEST_CASE("a bundle reads back, and one changed key changes one small value") {
    auto items = make_items(5000);
    auto const before = must_make(items, 1);
    CHECK(compile_code(before) == result_code::ok);
    items["keys"].erase("k77");
    auto const after = must_make(items, 2);
    int changed = 0;
    for (auto const& [name, text] : after.values) {
        changed += before.values.at(name) == text ? 0 : 1;
        CHECK(text.size() < 100'000);
    }
    CHECK(changed == 1);
}

TEST_CASE("a bundle with a damaged or missing value is refused whole") {
    auto const made = must_make(make_items(50), 3);
    auto missing = made;
    missing.values.erase(missing.values.begin());
    CHECK(compile_code(missing) == result_code::configuration_digest);
    caraway::tests::check_property("damage", [&] {
        auto damaged = made;
        auto value = damaged.values.begin();
        std::advance(value, *rc::gen::inRange<std::size_t>(0, damaged.values.size()));
        auto& text = value->second;
        text[*rc::gen::inRange<std::size_t>(0, text.size())] ^= 1;
        RC_ASSERT(compile_code(damaged) == result_code::configuration_digest);
    });
}

TEST_CASE("no text makes the reader of manifests fail") {
    caraway::tests::check_property("any text", [] {
        auto const text = *rc::gen::arbitrary<std::string>();
        compile_code({text, {}});
    });
}
