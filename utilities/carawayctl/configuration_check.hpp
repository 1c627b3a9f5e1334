/// The command "config check".
#pragma once

#include "commands.hpp"

namespace caraway {

/// Prints every finding in the files and, with `--against`, what differs. Returns the exit code: a problem
/// for errors, a warning for warnings only.
result<int> check_configuration(command_line const& line);

} // namespace caraway
