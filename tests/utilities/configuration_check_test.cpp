/// The exit codes of "config check", what it asks of nodes, and a fleet that does not answer.

#include "config/bundle.hpp"
#include "configuration_check.hpp"
#include "support/application.hpp"

#include <doctest/doctest.h>

#include <QTcpServer>
#include <QTcpSocket>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <unistd.h>

using namespace caraway;
using caraway::tests::application;

namespace {

constexpr int failed_with_a_problem = -1;

int run(command_line const& line) {
    application();
    return attempt_or([&] { return check_configuration(line); },
                      [](problem const& cause) {
                          CHECK_FALSE(cause.message.empty());
                          return failed_with_a_problem;
                      });
}

/// Like `run`, with what is printed.
std::pair<int, std::string> run_and_read(command_line const& line) {
    std::ostringstream printed;
    auto* const before = std::cout.rdbuf(printed.rdbuf());
    int const code = run(line);
    std::cout.rdbuf(before);
    return {code, printed.str()};
}

/// Answers each request by what its path names; a body that never ends for unknown paths.
class node_standin {
public:
    explicit node_standin(std::map<std::string, std::string> answers) : bodies(std::move(answers)) {
        application();
        this->server.listen(QHostAddress::LocalHost);
        QObject::connect(&this->server, &QTcpServer::newConnection, &this->server, [this] {
            auto* const socket = this->server.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket,
                             [this, socket] { this->answer(socket); });
        });
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(this->server.serverPort()); }

private:
    void answer(QTcpSocket* socket) {
        auto const path = socket->readAll().split(' ').value(1).toStdString();
        auto const body = this->bodies.find(path);
        if (body != this->bodies.end()) {
            socket->write(QByteArray::fromStdString(
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body->second.size()) + "\r\n\r\n" +
                body->second));
            return;
        }
        socket->write("HTTP/1.1 200 OK\r\n\r\n");
        auto const write_more = [socket] { socket->write(QByteArray(1024 * 1024, 'x')); };
        QObject::connect(socket, &QTcpSocket::bytesWritten, socket, write_more);
        write_more();
    }

    QTcpServer server;
    std::map<std::string, std::string> bodies;
};

std::string published(std::string const& toml) {
    return attempt_or(
        [&]() -> result<std::string> {
            item_set items;
            BOOST_LEAF_CHECK(
                read_toml_text(toml, "published", file_layout::named_items, configuration_schema(), items));
            BOOST_LEAF_AUTO(content, make_bundle(items, 7));
            return bundle_to_json(content);
        },
        [](problem const&) { return std::string{}; });
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

TEST_CASE("what a node has in force and what its peers carry is compared with the files") {
    std::string const routes = "[services.orders]\nconnections = 50\nslots = 10\n[keys.one]\norganisation = "
                               "\"north\"\nsha256 = \"" +
                               std::string(64, 'a') +
                               "\"\n[routes.a]\npath = \"/a\"\nservice = \"orders\"\nidempotent = true\n";
    auto const with_rate = [&routes](std::string const& rate) {
        return routes + "[organisations.north]\nburst = 5\nrate = " + rate + "\n";
    };
    // Two targets with ten slots, 100 ms for each request: 200 requests per second.
    std::string const peer = R"({"service": "orders", "limit": 4, "request_ms": 100, "host": )";
    node_standin const node({{"/configuration", published(with_rate("150"))},
                             {"/status", R"({"peers": [)" + peer + R"("a"}, )" + peer + R"("b"}]})"}});
    auto const check = [&](std::string const& rate) {
        return run_and_read({.command = "config",
                             .operands = {"check", write_file(with_rate(rate))},
                             .json = true,
                             .against = "in-force",
                             .nodes = {node.address()}});
    };
    auto const [below, below_text] = check("190");
    CHECK(below == exit_success);
    CHECK(below_text.find("\"after\": \"190\"") != std::string::npos);
    CHECK(below_text.find("revision 7 in force") != std::string::npos);
    auto const [above, above_text] = check("210");
    CHECK(above == exit_warning);
    CHECK(above_text.find("200 requests/s") != std::string::npos);
}

TEST_CASE("an answer without an end is given up, and the findings are printed all the same") {
    node_standin const node({});
    auto const [code, printed] = run_and_read({.command = "config",
                                               .operands = {"check", write_file("[services.orders]\n"
                                                                                "connections = 5\n")},
                                               .against = "in-force",
                                               .nodes = {node.address()}});
    CHECK(code == failed_with_a_problem);
    CHECK(printed.find("No route leads to this service") != std::string::npos);
    CHECK(printed.find("Not compared") != std::string::npos);
}
