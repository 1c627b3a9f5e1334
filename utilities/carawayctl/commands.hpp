/// The operators' commands; each gives the exit code.
#pragma once

#include "base/problem.hpp"

#include <string>
#include <vector>

namespace caraway {

/// What the command line asks for.
struct command_line {
    std::string command;
    std::vector<std::string> operands;
    std::uint64_t revision{0};
    bool json{false};
    bool colour{false};
};

inline constexpr int exit_success = 0;
inline constexpr int exit_problem = 1;
inline constexpr int exit_usage = 2;

/// Names and one line each, for the help.
std::string command_help();

result<int> run_command(command_line const& line);

} // namespace caraway
