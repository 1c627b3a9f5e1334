/// Opens a door in a test.
#pragma once

#include "http/http_listener.hpp"

#include <doctest/doctest.h>

namespace caraway::tests {

/// Ends the test case with the problem's text when the door can't be opened.
inline void open_or_fail(http_listener& served) {
    attempt_or(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(served.open());
            return true;
        },
        [](problem const& cause) -> bool {
            FAIL(to_text(cause));
            return false;
        });
}

} // namespace caraway::tests
