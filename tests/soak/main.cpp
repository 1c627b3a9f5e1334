/// Runs soak tests by hand: `caraway_soak --seed N --runs K --seconds S`. Exits with 1 if a guarantee was
/// violated.

#include "soak/soak.hpp"

#include <tclap/CmdLine.h>

#include <iostream>

int main(int count, char** arguments) {
    try {
        TCLAP::CmdLine line("Injects faults into real processes and checks the guarantees given to callers.");
        TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "First seed.", false, 1, "number", line);
        TCLAP::ValueArg<int> runs("r", "runs", "Number of consecutive seeds to run.", false, 1, "count",
                                  line);
        TCLAP::ValueArg<double> seconds("t", "seconds", "How long each run injects faults.", false, 8,
                                        "seconds", line);
        TCLAP::ValueArg<int> overlapping("o", "overlapping", "Maximum number of faults at once.", false, 2,
                                         "count", line);
        TCLAP::SwitchArg always_prints_faults("f", "faults",
                                              "Also print the faults of runs without a violation.", line);
        line.parse(count, arguments);
        int failed = 0;
        for (int number = 0; number < runs.getValue(); ++number) {
            auto const value = seed.getValue() + static_cast<std::uint64_t>(number);
            auto const report = caraway::soak::run_soak({.seed = value,
                                                         .fault_seconds = seconds.getValue(),
                                                         .overlapping_faults = overlapping.getValue()});
            std::cout << "seed " << value << ": " << report.faults.size() << " faults, sent " << report.sent
                      << ", served " << report.served << ", refused " << report.refused << ", unanswered "
                      << report.unanswered << (report.violations.empty() ? ", passed" : ", FAILED")
                      << std::endl;
            failed += report.violations.empty() ? 0 : 1;
            for (auto const& fault : report.faults) {
                if (!report.violations.empty() || always_prints_faults.getValue()) {
                    std::cout << "  " << fault << '\n';
                }
            }
            for (auto const& violation : report.violations) {
                std::cout << "  violation: " << violation << '\n';
            }
        }
        return failed == 0 ? 0 : 1;
    } catch (TCLAP::ArgException const& problem) {
        std::cerr << problem.error() << '\n';
        return 2;
    }
}
