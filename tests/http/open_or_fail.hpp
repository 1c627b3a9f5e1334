/// Opens a listener in a test.
#pragma once

#include "http/http_listener.hpp"

#include <doctest/doctest.h>

namespace caraway::tests {

/// Fails the test case with the problem's text if the listener can't be opened.
inline void open_or_fail(http_listener& listener) {
    attempt_or(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(listener.open());
            return true;
        },
        [](problem const& cause) -> bool {
            FAIL(to_text(cause));
            return false;
        });
}

} // namespace caraway::tests
