/// HTTP GET, for a node's operators' page.
#pragma once

#include "base/problem.hpp"

#include <string>

namespace caraway {

/// Returns the body of the answer; fails with io_failed when there is no answer within a few seconds.
result<std::string> http_get(std::string const& url);

} // namespace caraway
