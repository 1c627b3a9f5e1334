/// RapidCheck properties as doctest checks, with a fixed seed unless RC_PARAMS says otherwise.
#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>

namespace caraway::tests {

/// Runs the property; the seed is printed by RapidCheck when it fails.
template<typename Property>
void check_property(std::string const& description, Property&& property) {
    ::setenv("RC_PARAMS", "seed=20261204", 0);
    CHECK(rc::check(description, std::forward<Property>(property)));
}

} // namespace caraway::tests
