/// Measures the latency that the system adds to a call, and the memory of a node. Not a test: it prints
/// figures and checks nothing. Usage: caraway_bench [seconds]

#include "standins/fleet.hpp"
#include "standins/load_generator.hpp"
#include "support/resident_memory.hpp"

#include <QCoreApplication>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace {

using namespace caraway;
using namespace caraway::standins;

constexpr std::uint64_t seed = 20261204;

fleet_host make_host(std::string const& service, std::vector<nested_call> calls) {
    fleet_host host{service + "-1", "a", {}};
    host.target.service = service;
    host.target.slots = 10'000;
    host.target.work_ms = 0;
    host.target.calls = std::move(calls);
    return host;
}

std::string make_configuration() {
    std::string text =
        "[organisations.org]\nrate = 1000000\nburst = 1000000\n" + key_entry("k", "org", "key");
    for (std::string const service : {"front", "middle", "back"}) {
        text += "[services." + service + "]\nslots = 10000\nconnections = 10000\n[routes." + service +
                "]\nmethod = \"GET\"\npath = \"/" + service + "\"\nservice = \"" + service +
                "\"\nidempotent = true\n";
    }
    return text + "[failure_domains.a]\nweight = 1\n";
}

struct figures {
    double median_ms{0};
    double p99_ms{0};
    std::size_t whole{0};
    std::size_t all{0};
};

figures measure(load_entry const& entry, std::string const& path, double per_second, double span_ms) {
    load_stream stream{.name = "call",
                       .organisation = "org",
                       .key = "key",
                       .path = path,
                       .per_second = per_second,
                       .entries = {entry}};
    load_generator generator({stream}, seed);
    std::vector<double> taken;
    std::size_t all = 0;
    for (auto const& result : generator.run(span_ms)) {
        // Requests of the first second are left out: they also measure opening connections.
        if (result.begin_ms < 1000) {
            continue;
        }
        ++all;
        if (result.succeeded) {
            taken.push_back(result.taken_ms);
        }
    }
    return {quantile(taken, 0.5), quantile(taken, 0.99), taken.size(), all};
}

double processor_seconds(pid_t process) {
    std::ifstream stat("/proc/" + std::to_string(process) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int index = 0; index < 11; ++index) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

void compare(std::string const& name, load_entry const& direct, load_entry const& through,
             std::string const& path, double per_second, double span_ms) {
    auto const direct_figures = measure(direct, path, per_second, span_ms);
    auto const forwarded_figures = measure(through, path, per_second, span_ms);
    std::cout << std::fixed << std::setprecision(3) << "| " << name << " | " << std::setprecision(0)
              << per_second << " | " << std::setprecision(3) << direct_figures.median_ms << " | "
              << direct_figures.p99_ms << " | " << forwarded_figures.median_ms << " | "
              << forwarded_figures.p99_ms << " | " << forwarded_figures.median_ms - direct_figures.median_ms
              << " | " << forwarded_figures.p99_ms - direct_figures.p99_ms << " | " << forwarded_figures.whole
              << " of " << forwarded_figures.all << " |" << std::endl;
}

} // namespace

int main(int argument_count, char** arguments) {
    std::signal(SIGPIPE, SIG_IGN);
    QCoreApplication const application(argument_count, arguments);
    double const span_ms = argument_count > 1 ? std::atof(arguments[1]) * 1000 : 5000;
    fleet system({.configuration = make_configuration(),
                  .hosts = {make_host("front", {{"GET", "/middle"}}), make_host("middle", {{"GET", "/back"}}),
                            make_host("back", {})},
                  .proxies = false});
    if (!system.wait_ready()) {
        std::cerr << "The fleet did not become ready.\n";
        return 1;
    }
    // The same chain without the system: each target calls the next one directly.
    auto const ip = system.node(0).ip.substr(0, system.node(0).ip.rfind('.')) + ".200";
    auto back = make_host("back", {}).target;
    auto middle = make_host("middle", {{"GET", "/back"}}).target;
    middle.egress_address = ip;
    middle.egress_port = 7100;
    auto front = make_host("front", {{"GET", "/middle"}}).target;
    front.egress_address = ip;
    front.egress_port = 7101;
    target_standin const direct_back(ip, 7100, back);
    target_standin const direct_middle(ip, 7101, middle);
    target_standin const direct_front(ip, 7102, front);

    double idle_before = 0;
    double idle_after = 0;
    for (std::size_t index = 0; index < system.size(); ++index) {
        idle_before += processor_seconds(system.node(index).process);
    }
    ::sleep(5);
    for (std::size_t index = 0; index < system.size(); ++index) {
        idle_after += processor_seconds(system.node(index).process);
    }
    std::cout << "Seed " << seed << ". Idle node: " << std::setprecision(3)
              << (idle_after - idle_before) / 5 / static_cast<double>(system.size()) * 100 << " % of a core, "
              << tests::resident_kilobytes(std::to_string(system.node(0).process)) << " kB resident.\n\n";
    std::cout << "| Call | Calls/s | direct p50 ms | direct p99 | through p50 | through p99 | added p50 | "
                 "added p99 | "
                 "whole |\n|---|---|---|---|---|---|---|---|---|\n";
    load_entry const local{system.node(2).ip, callers_port};
    load_entry const remote{system.node(0).ip, callers_port};
    for (double const per_second : {1000.0, 3000.0, 10'000.0}) {
        compare("one hop, at the target's own node", {ip, 7100}, local, "/back", per_second, span_ms);
        compare("one hop, through another node", {ip, 7100}, remote, "/back", per_second, span_ms);
        compare("three hops", {ip, 7102}, remote, "/front", per_second, span_ms);
    }
    std::cout << "\nAfter the load: " << tests::resident_kilobytes(std::to_string(system.node(0).process))
              << ", " << tests::resident_kilobytes(std::to_string(system.node(1).process)) << " and "
              << tests::resident_kilobytes(std::to_string(system.node(2).process)) << " kB resident.\n";
    return 0;
}
