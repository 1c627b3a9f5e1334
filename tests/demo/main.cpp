/// Demonstrates the path of a request on a fleet with stand-ins: six nodes in two failure domains, a call
/// chain of three services, and the trace of one call.

#include "standins/fleet.hpp"

#include <QCoreApplication>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

using namespace caraway;
using namespace caraway::standins;

std::string read_example(std::string const& name) {
    std::ostringstream all;
    for (auto const* file : {"10-services.toml", "20-routes.toml", "40-organisations.toml"}) {
        std::ifstream stream(std::string(EXAMPLES_PATH) + "/" + name + "/" + file);
        all << stream.rdbuf();
    }
    return all.str() + "[failure_domains.ro-1]\nweight = 0.5\n[failure_domains.ro-2]\nweight = 0.5\n";
}

std::vector<fleet_host> demo_hosts() {
    std::vector<fleet_host> hosts;
    for (std::string const domain : {"ro-1", "ro-2"}) {
        hosts.push_back(
            make_host("orders-" + domain, domain, "orders", 6, {{"GET", "/workshops/queue"}}, 60));
        hosts.push_back(
            make_host("workshops-" + domain, domain, "workshops", 5, {{"GET", "/tracking/7"}}, 60));
        hosts.push_back(make_host("tracking-" + domain, domain, "tracking", 4, {}, 15));
    }
    return hosts;
}

void print(std::string const& title, client_answer const& answer) {
    std::cout << title << ": HTTP " << answer.status << ", outcome " << answer.outcome() << ", code "
              << answer.code() << "\n";
}

int show(fleet& system, std::string const& spans) {
    header_map const key{{"Authorization", bearer("key-maramures-smiths")}, {"X-Request-Id", "demo-quote"}};
    print("GET /orders/quote, three services deep", system.call(0, "GET", "/orders/quote", key));
    print("the same without a key", system.call(0, "GET", "/orders/quote"));
    header_map order = key;
    order["X-Request-Id"] = "demo-order";
    auto const ticket = system.call(0, "POST", "/orders", order, "one rooster");
    print("POST /orders without a ticket", ticket);
    order["Idempotency-Key"] = ticket.header("Idempotency-Key");
    print("POST /orders with the ticket", system.call(0, "POST", "/orders", order, "one rooster"));
    print("the same again through another node", system.call(3, "POST", "/orders", order, "one rooster"));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    std::cout << "\nThe call tree of the first request (carawayctl trace):\n" << std::flush;
    std::string files;
    for (auto const& entry : std::filesystem::directory_iterator(spans)) {
        files += " " + entry.path().string();
    }
    return std::system((std::string(CARAWAYCTL_PATH) + " trace demo-quote" + files).c_str());
}

} // namespace

int main(int argument_count, char** arguments) {
    std::signal(SIGPIPE, SIG_IGN);
    QCoreApplication const application(argument_count, arguments);
    bool const keeps_running = argument_count > 1 && std::string(arguments[1]) == "--stay";
    auto const spans =
        (std::filesystem::temp_directory_path() / ("caraway-demo-" + std::to_string(::getpid()))).string();
    std::filesystem::create_directory(spans);
    int code = 1;
    {
        fleet system({.configuration = read_example("giruete"), .hosts = demo_hosts(), .span_folder = spans});
        if (system.wait_ready()) {
            std::cout << "Six nodes in two failure domains are ready. Callers' addresses:\n";
            for (std::size_t index = 0; index < system.size(); ++index) {
                std::cout << "  " << system.node(index).host.name << "  http://" << system.node(index).ip
                          << ":" << callers_port << "  (operators " << system.node(index).ip << ":"
                          << operators_port << ")\n";
            }
            std::cout << '\n';
            code = show(system, spans);
            if (keeps_running) {
                std::cout << "\nThe platform stand-in takes a bundle at http://"
                          << system.node(0).ip.substr(0, system.node(0).ip.find('.', 4))
                          << ".0.1:" << platform_port << "/control/bundle (PUT). Press Enter to stop.\n";
                std::cin.get();
            }
        } else {
            std::cerr << "The fleet did not become ready.\n";
        }
    }
    std::filesystem::remove_all(spans);
    return code == 0 ? 0 : 1;
}
