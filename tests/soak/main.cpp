/// Runs soaks by hand: `caraway_soak --seed N --runs K --seconds S`. Exits 1 if a promise was broken.

#include "soak/soak.hpp"

#include <tclap/CmdLine.h>

#include <iostream>

int main(int count, char** arguments) {
    try {
        TCLAP::CmdLine line("Plays faults against real processes and checks the promises.");
        TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "First seed.", false, 1, "number", line);
        TCLAP::ValueArg<int> runs("r", "runs", "Seeds to play, one after another.", false, 1, "count", line);
        TCLAP::ValueArg<double> seconds("t", "seconds", "How long faults come in each.", false, 8, "seconds",
                                        line);
        TCLAP::ValueArg<int> overlapping("o", "overlapping", "Faults at once.", false, 2, "count", line);
        TCLAP::SwitchArg tells_faults("f", "faults", "Also print the faults of runs that break nothing.",
                                      line);
        line.parse(count, arguments);
        int failed = 0;
        for (int number = 0; number < runs.getValue(); ++number) {
            auto const value = seed.getValue() + static_cast<std::uint64_t>(number);
            auto const report = caraway::soak::run_soak({.seed = value,
                                                         .fault_seconds = seconds.getValue(),
                                                         .overlapping_faults = overlapping.getValue()});
            std::cout << "seed " << value << ": " << report.faults.size() << " faults, asked " << report.asked
                      << ", served " << report.served << ", refused " << report.refused << ", unanswered "
                      << report.unanswered << (report.broken.empty() ? ", held" : ", BROKEN") << std::endl;
            failed += report.broken.empty() ? 0 : 1;
            for (auto const& fault : report.faults) {
                if (!report.broken.empty() || tells_faults.getValue()) {
                    std::cout << "  " << fault << '\n';
                }
            }
            for (auto const& broken : report.broken) {
                std::cout << "  broken: " << broken << '\n';
            }
        }
        return failed == 0 ? 0 : 1;
    } catch (TCLAP::ArgException const& problem) {
        std::cerr << problem.error() << '\n';
        return 2;
    }
}
