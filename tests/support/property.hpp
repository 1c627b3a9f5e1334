/// RapidCheck properties as doctest checks, with a fixed seed unless RC_PARAMS says otherwise.
#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>

namespace caraway::tests {

/// Runs the property; the seed is printed by RapidCheck when it fails.
template <typename Property>
void check_property(std::string const& description, Property&& property, int runs = 100) {
    auto const parameters = "seed=20261204 max_success=" + std::to_string(runs);
    // What the caller of the program has set goes first.
    auto const* wanted = std::getenv("CARAWAY_RC_PARAMS");
    ::setenv("RC_PARAMS", wanted == nullptr ? parameters.c_str() : wanted, 1);
    CHECK(rc::check(description, std::forward<Property>(property)));
}

} // namespace caraway::tests
