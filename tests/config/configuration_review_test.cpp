/// What a review of an operator's files finds before they are published, and what they would change.

#include "config/bundle.hpp"
#include "config/configuration_review.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace caraway;

namespace {

std::string const good = R"(
[organisations.north]
rate = 100
burst = 20
[keys.first]
organisation = "north"
sha256 = "00000000000000000000000000000000000000000000000000000000000000aa"
[services.orders]
slots = 60
connections = 470
[routes.order]
method = "POST"
path = "/orders"
service = "orders"
idempotent = false
)";

/// Files in a folder of their own, removed at the end.
class review_folder {
public:
    review_folder()
        : folder(std::filesystem::temp_directory_path() / ("caraway-review-" + std::to_string(::getpid()))) {
        std::filesystem::create_directory(this->folder);
    }
    ~review_folder() { std::filesystem::remove_all(this->folder); }
    review_folder(review_folder const&) = delete;
    review_folder& operator=(review_folder const&) = delete;

    std::filesystem::path write(std::string const& name, std::string const& content) const {
        std::ofstream(this->folder / name, std::ios::binary) << content;
        return this->folder / name;
    }
    std::filesystem::path const& path() const { return this->folder; }

private:
    std::filesystem::path folder;
};

item_set read(std::string const& toml) {
    item_set items;
    attempt_or(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(
                read_toml_text(toml, "test", file_layout::named_items, configuration_schema(), items));
            return true;
        },
        [](problem const& cause) {
            FAIL(to_text(cause));
            return false;
        });
    return items;
}

struct expected_finding {
    std::string extra; ///< Follows `good`.
    finding_severity severity;
    std::string key;
    int line; ///< After the last line of `good`.
};

int const last_line = static_cast<int>(std::ranges::count(good, '\n'));

} // namespace

TEST_CASE("a sound configuration has no finding") {
    auto const review = review_items(read(good));
    CHECK(review.is_valid);
    CHECK(review.findings.empty());
}

TEST_CASE("what never matches or contradicts itself is found with its key and line") {
    using enum finding_severity;
    auto const cases = std::to_array<expected_finding>({
        {"[routes.a]\npath = \"/x\"\nservice = \"orders\"\nidempotent = true\n"
         "[routes.b]\nmethod = \"GET\"\npath = \"/x\"\nservice = \"orders\"\nidempotent = true\n",
         warning, "routes.b.path", 7},
        {"[routes.a]\npath = \"/x?y\"\nservice = \"orders\"\nidempotent = true\n", warning, "routes.a.path",
         2},
        {"[routes.a]\nauthority = \"shop:80\"\npath = \"/x\"\nservice = \"orders\"\nidempotent = true\n",
         warning, "routes.a.authority", 2},
        {"[services.spare]\nconnections = 5\n", warning, "services.spare", 2},
        {"[routes.a]\npath = \"/x\"\nservice = \"orders\"\nidempotent = true\ndeadline_ms = 50\n"
         "latency_objective_ms = 100\n",
         warning, "routes.a.deadline_ms", 5},
        {"[routes.a]\npath = \"/x\"\nservice = \"orders\"\nidempotent = false\nretry_allowance = 3\n",
         warning, "routes.a.retry_allowance", 5},
        {"[routes.a]\npath = \"/x\"\nservice = \"orders\"\nidempotent = true\nretry_allowance = 9\n", warning,
         "routes.a.retry_allowance", 5},
        {"[routes.a]\npath = \"/x\"\nsplit = \"orders=1,orders=0\"\nidempotent = true\n", note,
         "routes.a.split", 3},
        {"[services.b]\nconnections = 5\ncold_rate = 0\ncold_ms = 5000\n", warning, "services.b.cold_ms", 4},
        {"[services.b]\nconnections = 5\ncold_rate = 20\ncold_ms = 0\n", warning, "services.b.cold_rate", 3},
        {"[services.b]\nconnections = 5\nhealth_path = \"/up\"\n", note, "services.b.health_path", 3},
        {"[keys.none]\norganisation = \"north\"\n"
         "sha256 = \"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855\"\n",
         warning, "keys.none.sha256", 3},
        {"[organisations.empty]\nrate = 5\nburst = 5\n", warning, "organisations.empty", 3},
        {"[failure_domains.a]\nweight = 0.99\n[failure_domains.b]\nweight = 0.01\n", warning,
         "organisations.north.burst", 4 - last_line},
    });
    for (auto const& wanted : cases) {
        CAPTURE(wanted.extra);
        auto const review = review_items(read(good + wanted.extra));
        CHECK(review.is_valid);
        auto const found = std::ranges::find(review.findings, wanted.key, &finding::key);
        REQUIRE(found != review.findings.end());
        CHECK(found->severity == wanted.severity);
        CHECK(found->line == last_line + wanted.line);
        CHECK(found->file == "test");
    }
}

TEST_CASE("errors are those of a node, one for each file, with the place and the key") {
    review_folder const folder;
    auto const first = folder.write("10.toml", good);
    auto const second = folder.write("20.toml", "[organisations.north]\nburst = -1\n");
    auto const third = folder.write("30.toml", "[organisations\n");
    auto const review = review_files({first, second, third});
    CHECK_FALSE(review.is_valid);
    REQUIRE(review.findings.size() == 2);
    CHECK(review.findings[0].severity == finding_severity::error);
    CHECK(review.findings[0].file == second.string());
    CHECK(review.findings[0].line == 2);
    CHECK(review.findings[0].key == "organisations.burst");
    CHECK(review.findings[1].file == third.string());
    SUBCASE("an error between items") {
        auto const dangling = folder.write("40.toml", "[routes.order]\nservice = \"none\"\n");
        auto const together = review_files({first, dangling});
        REQUIRE(together.findings.size() == 1);
        CHECK(together.findings[0].key == "routes.order.service");
        CHECK(together.findings[0].file == dangling.string());
        CHECK(together.findings[0].line == 2);
    }
}

TEST_CASE("limits above what the services carry are found, where that is known of all") {
    auto const items =
        read(good + "[services.late]\nconnections = 5\ncold_rate = 30\ncold_ms = 900\n"
                    "[routes.late]\npath = \"/late\"\nservice = \"late\"\nidempotent = true\n");
    auto const keys_for = [&items](std::map<std::string, service_capacity> const& capacities) {
        std::vector<std::string> keys;
        for (auto const& entry : review_capacities(items, capacities)) {
            CHECK(entry.severity == finding_severity::warning);
            CHECK(entry.line > 0);
            keys.push_back(entry.key);
        }
        return keys;
    };
    using keys = std::vector<std::string>;
    CHECK(keys_for({{"orders", {60, 30}}, {"late", {50, 40}}}) == keys{});
    CHECK(keys_for({{"orders", {60, 30}}, {"late", {39, 40}}}) == keys{"organisations.north.rate"});
    CHECK(keys_for({{"orders", {600, 30}}, {"late", {50, 25}}}) == keys{"services.late.cold_rate"});
    CHECK(keys_for({{"orders", {60, 30}}}) == keys{});
}

TEST_CASE("every mistake of a file is found, and every one between items") {
    review_folder const folder;
    auto const keys_of = [&folder](std::string const& content) {
        auto const review = review_files({folder.write("all.toml", content)});
        CHECK_FALSE(review.is_valid);
        std::vector<std::string> keys;
        for (auto const& entry : review.findings) {
            CHECK(entry.severity == finding_severity::error);
            CHECK(entry.line > 0);
            keys.push_back(entry.key);
        }
        return keys;
    };
    using keys = std::vector<std::string>;
    CHECK(keys_of("[organisations.a]\nrate = \"much\"\nburts = 3\nweight = 0\n[rotues.b]\nx = 1\n") ==
          keys{"organisations.rate", "organisations.burts", "organisations.weight", "rotues"});
    CHECK(keys_of("[routes.a]\npath = \"/a\"\n[keys.b]\nsha256 = \"" + std::string(64, '0') + "\"\n") ==
          keys{"routes.a.path", "keys.b.sha256"});
    CHECK(keys_of("[organisations.a]\nrate = 5\n[keys.b]\norganisation = \"none\"\nsha256 = \"" +
                  std::string(64, '0') +
                  "\"\n[routes.a]\npath = \"/a\"\nidempotent = true\nservice = \"gone\"\n") ==
          keys{"organisations.a.rate", "keys.b.organisation", "routes.a.service"});
}

TEST_CASE("missing, endless and huge files, damaged bytes and empty folders are findings") {
    review_folder const folder;
    auto const is_error = [](std::filesystem::path const& file) {
        auto const review = review_files({file});
        return review.findings.size() == 1 && review.findings[0].severity == finding_severity::error &&
               !review.is_valid && !review.findings[0].message.empty();
    };
    CHECK(is_error(folder.path() / "absent.toml"));
    CHECK(is_error("/dev/zero"));
    CHECK(is_error(folder.path()));
    CHECK(is_error(folder.write("huge.toml", std::string(3'000'000, '#'))));
    CHECK(is_error(folder.write("damaged.toml", std::string("\x00\xFF[=", 4))));
}

TEST_CASE("a comparison tells what is added, removed and changed, and whom it touches") {
    auto const wanted = read(R"(
[organisations.north]
rate = 50
burst = 20
[keys.second]
organisation = "north"
sha256 = "00000000000000000000000000000000000000000000000000000000000000bb"
[services.orders]
slots = 60
connections = 470
[routes.order]
method = "POST"
path = "/orders"
service = "orders"
idempotent = false
deadline_ms = 900
)");
    auto const differences = compare_items(read(good), wanted);
    auto const find = [&differences](std::string const& key) {
        auto const found = std::ranges::find(differences, key, &configuration_difference::key);
        REQUIRE(found != differences.end());
        return *found;
    };
    CHECK(differences.size() == 4);
    CHECK(find("organisations.north.rate").before == "100");
    CHECK(find("organisations.north.rate").after == "50");
    CHECK(find("organisations.north.rate").line == 3);
    CHECK(find("keys.second").change == configuration_difference::kind::added);
    CHECK(find("keys.first").change == configuration_difference::kind::removed);
    CHECK(find("keys.first").affected == "callers of organisation 'north' with this key");
    CHECK(find("routes.order.deadline_ms").before == "default");
    CHECK(find("routes.order.deadline_ms").affected == "callers of POST /orders");
    CHECK(compare_items(wanted, wanted).empty());
}

TEST_CASE("a published configuration compares equal to the files that it was made from") {
    auto const items = read(good);
    auto const published = attempt_or(
        [&]() -> result<item_set> {
            BOOST_LEAF_AUTO(content, make_bundle(items, 3));
            return bundle_items(content);
        },
        [](problem const&) { return item_set{}; });
    CHECK(compare_items(published, items).empty());
}
