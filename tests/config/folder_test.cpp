/// An invalid configuration folder is rejected as a whole, and the error has file, line and result code.

#include "config/bundle.hpp"
#include "config/settings.hpp"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>

using namespace caraway;

namespace {

std::string const good_folder = R"(
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
class = "critical"
[failure_domains.a]
weight = 0.5
[failure_domains.b]
weight = 0.5
)";

struct bad_case {
    std::string extra;
    result_code code;
    int line; ///< In the second file; 0 when the mistake has no single line.
};

/// Reads a folder of two files, `good_folder` and `second`. Returns the problem, or one with code ok.
problem check_folder(std::string const& second) {
    auto const folder =
        std::filesystem::temp_directory_path() / ("caraway-config-" + std::to_string(::getpid()));
    std::filesystem::create_directory(folder);
    std::ofstream(folder / "10-base.toml") << good_folder;
    std::ofstream(folder / "20-more.toml") << second;
    auto const found = attempt_or(
        [&]() -> result<problem> {
            BOOST_LEAF_AUTO(items, read_configuration_folder(folder));
            BOOST_LEAF_AUTO(new_bundle, make_bundle(items, 1));
            BOOST_LEAF_CHECK(compile_bundle(new_bundle));
            return problem{result_code::ok};
        },
        [](problem const& cause) { return cause; });
    std::filesystem::remove_all(folder);
    return found;
}

} // namespace

TEST_CASE("a valid folder is accepted, and a later file's value replaces an earlier one's") {
    CHECK(check_folder("").code == result_code::ok);
    CHECK(check_folder("[organisations.north]\nrate = 7").code == result_code::ok);
}

TEST_CASE("each mistake is reported with its code, file and line") {
    std::vector<bad_case> const cases{
        {"[organisations.north]\nrate = -1", result_code::configuration_out_of_bounds, 2},
        {"[organisations.north]\nrate = nan", result_code::configuration_out_of_bounds, 2},
        {"[organisations.north]\nrate = \"fast\"", result_code::configuration_wrong_type, 2},
        {"\n[organisations.north]\nspeed = 5", result_code::configuration_unknown_name, 3},
        {"[organizations.north]\nrate = 5", result_code::configuration_unknown_name, 1},
        {"[organisations.south]\nrate = 5", result_code::configuration_missing, 2},
        {"[organisations]\nsouth = 5", result_code::configuration_wrong_type, 2},
        {"[organisations.x]\nrate = 1\nrate = 2\nburst = 1", result_code::configuration_duplicate, 3},
        {"[keys.other]\norganisation = \"nobody\"\nsha256 = "
         "\"00000000000000000000000000000000000000000000000000000000000000ab\"",
         result_code::configuration_reference, 2},
        {"[keys.other]\norganisation = \"north\"\nsha256 = "
         "\"00000000000000000000000000000000000000000000000000000000000000aa\"",
         result_code::configuration_duplicate, 3},
        {"[keys.other]\norganisation = \"north\"\nsha256 = "
         "\"0000000000000000000000000000000000000000000000000000000000000ZZZ\"",
         result_code::configuration_out_of_bounds, 3},
        {"[routes.again]\nmethod = \"POST\"\npath = \"/orders\"\nservice = \"orders\"\nidempotent = true",
         result_code::configuration_duplicate, 3},
        {"[routes.lost]\nmethod = \"GET\"\npath = \"/lost\"\nservice = \"none\"\nidempotent = true",
         result_code::configuration_reference, 4},
        {"[failure_domains.c]\nweight = 0.5", result_code::configuration_out_of_bounds, 0},
        {"[organisations.north\nrate = 1", result_code::configuration_syntax, 1},
        {std::string(1'100'000, '#'), result_code::configuration_too_large, 0},
    };
    for (auto const& entry : cases) {
        CAPTURE(entry.extra.substr(0, 80));
        auto const found = check_folder(entry.extra);
        CHECK(found.code == entry.code);
        CHECK_FALSE(found.message.empty());
        CHECK_FALSE(found.file.empty());
        if (entry.line > 0) {
            CHECK(found.line == entry.line);
            CHECK(found.file.ends_with("20-more.toml"));
        }
    }
}

TEST_CASE("a settings file is checked like the configuration folder") {
    auto const path =
        (std::filesystem::temp_directory_path() / ("caraway-" + std::to_string(::getpid()) + ".toml"))
            .string();
    auto const check = [&](std::string const& text) {
        std::ofstream(path) << text;
        return attempt_or(
            [&]() -> result<result_code> {
                BOOST_LEAF_CHECK(read_settings(path));
                return result_code::ok;
            },
            [](problem const& cause) { return cause.code; });
    };
    std::string const good =
        "[node]\nhost='a'\nfailure_domain='d'\nservice='s'\n[addresses]\ncallers='127.0.0.1:1'\n"
        "egress='127.0.0.1:2'\nlink='127.0.0.1:3'\noperators='127.0.0.1:4'\ntarget='127.0.0.1:5'\n"
        "[platform]\nurl='http://127.0.0.1:6'\n[link]\nfleet_secret='0123456789abcdef'\n";
    CHECK(check(good) == result_code::ok);
    CHECK(check(good + "peers=['b=d=s=127.0.0.1:9']\n") == result_code::ok);
    CHECK(check(good + "peers=['b=d=s']\n") == result_code::configuration_out_of_bounds);
    CHECK(check(good + "[limits]\nmax_body=1\n") == result_code::configuration_out_of_bounds);
    CHECK(check(good + "[control]\nplacement='nearest'\n") == result_code::configuration_out_of_bounds);
    auto const with_regions = [&](std::string const& regions, std::string const& rule) {
        auto text = good;
        text.insert(text.find("service="), "failure_domain_regions=" + regions + "\n");
        std::ofstream(path) << text + "[control]\nplacement='" + rule + "'\n";
        return attempt_or([&] { return read_settings(path); }, [](problem const&) { return settings{}; });
    };
    CHECK(with_regions("['a=x','b=x']", "regional").placement == placement_rule::load);
    CHECK(with_regions("['a=x','b=y']", "regional").placement == placement_rule::wait);
    CHECK(with_regions("['a=x','b=y']", "load").placement == placement_rule::load);
    CHECK(with_regions("['a=x','b=y']", "wait").domain_regions.at("b") == "y");
    CHECK(with_regions("['a']", "wait").domain_regions.empty());
    CHECK(check(good + "[limits]\nmax_bodies=1\n") == result_code::configuration_unknown_name);
    CHECK(check("[node]\nhost='a'\n") == result_code::configuration_missing);
    CHECK(check("[addresses]\ncallers='nowhere'\n") != result_code::ok);
    std::filesystem::remove(path);
    CHECK(check("") == result_code::configuration_missing);
    std::filesystem::remove(path);
}
