/// The exit codes of "config check", and a fleet that does not answer.

#include "configuration_check.hpp"

#include <doctest/doctest.h>

#include <QCoreApplication>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace caraway;

namespace {

QCoreApplication& application() {
    static int count = 1;
    static char name[] = "test";
    static char* arguments[] = {name, nullptr};
    static QCoreApplication instance(count, arguments);
    return instance;
}

constexpr int failed_with_a_problem = -1;

int run(command_line const& line) {
    application();
    return attempt_or([&] { return check_configuration(line); },
                      [](problem const& cause) {
                          CHECK_FALSE(cause.message.empty());
                          return failed_with_a_problem;
                      });
}

std::string write_file(std::string const& content) {
    auto const file =
        std::filesystem::temp_directory_path() / ("caraway-check-" + std::to_string(::getpid()) + ".toml");
    std::ofstream(file) << content;
    return file.string();
}

} // namespace

TEST_CASE("the exit code tells errors, warnings and nothing apart") {
    auto const code_for = [](std::string const& content) {
        return run({.command = "config", .operands = {"check", write_file(content)}});
    };
    std::string const service = "[services.orders]\nconnections = 5\n";
    std::string const route = "[routes.a]\npath = \"/a\"\nservice = \"orders\"\nidempotent = true\n";
    CHECK(code_for(service + route) == exit_success);
    CHECK(code_for(service) == exit_warning);
    CHECK(code_for(route) == exit_problem);
    CHECK(run({.command = "config", .operands = {"look", "x"}}) == exit_usage);
}

TEST_CASE("without a node, or when no node answers, the comparison fails and says so") {
    command_line line{.command = "config",
                      .operands = {"check", write_file("[services.orders]\nconnections = 5\n")},
                      .against = "in-force"};
    CHECK(run(line) == exit_usage);
    line.nodes = {"127.0.0.1:1", "not an address"};
    CHECK(run(line) == failed_with_a_problem);
    line.against = "/absent.toml";
    CHECK(run(line) == failed_with_a_problem);
    line.against = line.operands.back();
    CHECK(run(line) == exit_warning);
}
