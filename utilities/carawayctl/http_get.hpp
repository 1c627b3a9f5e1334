/// HTTP GET, for a node's operators' page.
#pragma once

#include "base/problem.hpp"

#include <string>

namespace caraway {

/// Returns the body of an answer with status 200, of at most 64 MiB. Fails with io_failed when none has come
/// within 20 s, or nothing at all for 3 s. Runs a Qt event loop.
result<std::string> http_get(std::string const& url);

} // namespace caraway
