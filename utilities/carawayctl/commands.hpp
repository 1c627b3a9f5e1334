/// The commands of carawayctl.
#pragma once

#include "base/problem.hpp"

#include <string>
#include <vector>

namespace caraway {

/// The parsed command line.
struct command_line {
    std::string command;
    std::vector<std::string> operands;
    std::uint64_t revision{0};
    bool json{false};
    bool colour{false};
    std::string against;            ///< "in-force", or a file or folder; empty for nothing.
    std::vector<std::string> nodes; ///< Operators' addresses, IP:PORT.
};

inline constexpr int exit_success = 0;
inline constexpr int exit_problem = 1;
inline constexpr int exit_usage = 2;
inline constexpr int exit_warning = 3;

/// One line for each command, with its name, operands and purpose.
std::string command_help();

/// Returns the process's exit code.
result<int> run_command(command_line const& line);

} // namespace caraway
