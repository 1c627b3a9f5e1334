/// caraway_lab: runs scenarios and prints the four measures that the requirements name.
/// Usage: caraway_lab [--seed N] [--mode MODE]... [--plots FOLDER] SCENARIO.toml...

#include "lab/experiment.hpp"

#include <QCoreApplication>
#include <tclap/CmdLine.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>

namespace {

using namespace caraway;
using namespace caraway::lab;

void print_row(std::string const& mode, measures const& found) {
    std::cout << std::fixed << std::setprecision(1) << "| " << mode << " | " << found.important_goodput * 100
              << " % | " << found.goodput * 100 << " % | ";
    if (found.recovery_seconds < 0) {
        std::cout << "not seen";
    } else {
        std::cout << found.recovery_seconds << " s";
    }
    std::cout << " | " << found.worst_organisation * 100 << " % | " << std::setprecision(3)
              << found.refused_inside_rate * 100 << " % | " << found.unanswered << " of " << found.offered
              << " |" << std::endl;
}

} // namespace

int main(int argument_count, char** arguments) {
    std::signal(SIGPIPE, SIG_IGN);
    std::uint64_t seed = 0;
    std::string plots;
    std::vector<std::string> modes;
    std::vector<std::string> files;
    try {
        TCLAP::CmdLine line("Runs overload scenarios on real processes and prints the four measures.", ' ',
                            "0.1.0");
        TCLAP::ValueArg<std::uint64_t> seed_value("s", "seed", "Seed of the arrivals.", false, 20261204, "N",
                                                  line);
        TCLAP::ValueArg<std::string> plot_folder("p", "plots", "Where to write an SVG for each scenario.",
                                                 false, "", "FOLDER", line);
        TCLAP::MultiArg<std::string> mode_values(
            "m", "mode", "off, per_host or full; all three when left out.", false, "MODE", line);
        TCLAP::UnlabeledMultiArg<std::string> scenario_files("scenarios", "Scenario files.", true,
                                                             "SCENARIO.toml", line);
        line.parse(argument_count, arguments);
        seed = seed_value.getValue();
        plots = plot_folder.getValue();
        modes = mode_values.getValue();
        files = scenario_files.getValue();
    } catch (TCLAP::ArgException const& error) {
        std::cerr << "caraway_lab: " << error.error() << " " << error.argId() << '\n';
        return 2;
    }
    if (modes.empty()) {
        modes = {"off", "per_host", "full"};
    }
    QCoreApplication const application(argument_count, arguments);
    for (auto const& file : files) {
        int const code = attempt_or(
            [&]() -> result<int> {
                BOOST_LEAF_AUTO(wanted, read_scenario(file));
                std::cout << "\n### " << wanted.name << " (seed " << seed << ")\n\n"
                          << "| Control | Important whole | All whole | Recovery | Worst organisation | "
                             "Refused inside "
                             "the rate | Unanswered |\n|---|---|---|---|---|---|---|\n";
                std::vector<std::pair<std::string, measures>> rows;
                for (auto const& mode : modes) {
                    rows.emplace_back(mode, run_experiment(wanted, mode, seed));
                    print_row(mode, rows.back().second);
                }
                if (!plots.empty()) {
                    std::ofstream(plots + "/" + std::filesystem::path(file).stem().string() + ".svg")
                        << draw_plot(wanted, rows);
                }
                return 0;
            },
            [](problem const& cause) {
                std::cerr << to_text(cause) << '\n';
                return 1;
            });
        if (code != 0) {
            return code;
        }
    }
    return 0;
}
