/// Entries of other writers in the registry: they name no target, and the source follows all the others.
#include "platform/followed_registry.hpp"

#include "platform/registry_documents.hpp"

using namespace caraway;
using namespace caraway::registry;

namespace {

/// An entry with one more field, or one in place of the usual one.
std::string entry_with(std::string const& field, std::string const& value) {
    std::string text = R"({"service":"front","zone":"north","state":"ready",)";
    for (auto const& [name, usual] : {std::pair<std::string, std::string>{"address", R"("10.0.0.9:8080")"},
                                      {"slots", "5"},
                                      {"born", "1700000000000"},
                                      {"seq", "1"}}) {
        text += name == field ? "" : "\"" + name + "\":" + usual + ",";
    }
    return text + "\"" + field + "\":" + value + "}";
}

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

std::vector<std::string> odd_entries() {
    std::vector<std::string> texts{"", "null", "[]", "{", "\"ready\"", nested(1000), nested(200'000)};
    for (auto const* address : {"\"10.0.0.9:65536\"", "\"10.0.0.9:0\"", "\"10.0.0.9:-1\"", "\"10.0.0.9\"",
                                "\"10.0.0.9:99999999999999999999\"", "\"front:8080\"", "8080", "{}"}) {
        texts.push_back(entry_with("address", address));
    }
    texts.push_back(entry_with("address", "\"fe80::1%" + std::string(400, 'x') + ":8080\""));
    for (auto const* field : {"slots", "born", "seq"}) {
        for (auto const* value : {"1e300", "-1e300", "1e20", "1.5", "-1", "\"5\"", "[[5]]"}) {
            texts.push_back(entry_with(field, value));
        }
    }
    texts.push_back(entry_with("zone", "\"" + std::string(100'000, 'z') + "\""));
    texts.push_back(entry_with("service", nested(500)));
    texts.push_back(entry_with("cold-remaining-ms", nested(5000)));
    return texts;
}

} // namespace

// Machines ended, or followed the list no longer, after another writer had left one odd entry in it.
TEST_CASE("an entry with nesting, numbers or addresses that nobody expects names no target") {
    for (auto const& text : odd_entries()) {
        CAPTURE(text.substr(0, 200));
        CHECK_FALSE(parse_target("i-9", QByteArray::fromStdString(text), 5, 7000));
    }
}

TEST_CASE("a figure of a cold target that is out of all bounds is limited") {
    for (auto const* value : {"1e308", "1e12", "600000"}) {
        auto const text = entry_with("cold-remaining-ms", value);
        auto const entry = parse_target("i-9", QByteArray::fromStdString(text), 5, 7000);
        REQUIRE(entry);
        CHECK(entry->listed.warm_up_ms <= 600'000);
    }
}

TEST_CASE("odd entries in a page or among the changes stop no source from following the others") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.list.hosts.size() == 3 && watched.configurations == 1; }));
    int number = 0;
    for (auto const& text : odd_entries()) {
        watched.registry.put("servers/odd-" + std::to_string(number++), text);
    }
    watched.registry.put("servers/i-4", entry_text(4));
    watched.read_on(2);
    CHECK(watched.wait_for([&] { return watched.list.hosts.size() == 4; }));
    // The same in the pages of a full read.
    watched.registry.set_fault(registry_fault::down);
    REQUIRE(watched.wait_for([&] { return watched.failures > 0; }));
    watched.registry.put("servers/i-5", entry_text(5));
    watched.registry.compact();
    watched.registry.set_fault(registry_fault::none);
    CHECK(watched.wait_for([&] { return watched.list.hosts.size() == 5; }));
}

// The key of the last entry of a page is a part of the request for the next one.
TEST_CASE("keys with characters that have a meaning in a request stop no source from reading all pages") {
    followed_registry watched;
    REQUIRE(watched.wait_for([&] { return watched.configurations == 1; }));
    watched.registry.set_fault(registry_fault::down);
    REQUIRE(watched.wait_for([&] { return watched.failures > 0; }));
    for (auto const* key : {"servers/a#1", "servers/a#2", "servers/b&prefix=op", "servers/c%41",
                            "servers/d e?", "servers/e+\xC3\xA9"}) {
        watched.registry.put(key, entry_text(9));
    }
    watched.registry.put("servers/i-7", entry_text(7));
    watched.registry.compact();
    watched.registry.set_fault(registry_fault::none);
    CHECK(watched.wait_for([&] { return watched.lists(7); }));
    CHECK(watched.registry.call_count() < 60);
}
