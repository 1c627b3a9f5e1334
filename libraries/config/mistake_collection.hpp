/// Collects every problem of a document where otherwise the first one ends its reading.
#pragma once

#include "base/problem.hpp"

#include <vector>

namespace caraway {

/// Runs `step`. With `mistakes`, a problem is added there and the caller goes on; without, it is returned.
template <typename Step>
result<void> collect_or_fail(std::vector<problem>* mistakes, Step&& step) {
    if (mistakes == nullptr) {
        return step();
    }
    attempt_or(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(step());
            return true;
        },
        [mistakes](problem const& cause) {
            mistakes->push_back(cause);
            return false;
        });
    return {};
}

} // namespace caraway
