/// Runs RapidCheck properties as doctest checks, with a fixed seed unless CARAWAY_RC_PARAMS is set.
#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>

namespace caraway::tests {

/// Checks the property with `runs` cases; RapidCheck prints the seed when it fails.
template <typename Property>
void check_property(std::string const& description, Property&& property, int runs = 100) {
    auto const parameters = "seed=20261204 max_success=" + std::to_string(runs);
    // CARAWAY_RC_PARAMS takes precedence, so that a failure can be reproduced with its seed.
    auto const* wanted = std::getenv("CARAWAY_RC_PARAMS");
    ::setenv("RC_PARAMS", wanted == nullptr ? parameters.c_str() : wanted, 1);
    CHECK(rc::check(description, std::forward<Property>(property)));
}

} // namespace caraway::tests
