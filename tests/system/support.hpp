/// The fleet that the system tests use, and the calls they make.
#pragma once

#include "standins/fleet.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace caraway::tests {

using namespace caraway::standins;

inline std::string const first_key = "key-of-north";
inline std::string const second_key = "key-of-south";

/// Organisations north and south, services front, middle and back, failure domains a and b.
std::string base_configuration(double rate = 100'000, double burst = 10'000);

/// Two domains, with front, middle and back in each; front calls middle, middle calls back.
std::vector<fleet_host> chain_hosts();

/// Two domains with two hosts of one service each.
std::vector<fleet_host> flat_hosts();

header_map with_key(std::string const& key = first_key);

/// A ticket for a POST to `path` through a node; "" when none was given.
std::string get_ticket(fleet& system, std::size_t index, std::string const& path);

header_map with_ticket(std::string const& ticket, std::string const& key = first_key);

/// Polls until every running node has the revision in force.
bool wait_configuration_revision(fleet& system, std::uint64_t revision, std::chrono::milliseconds limit);

/// The greatest count of runs of any one request.
int max_runs_per_request(fleet const& system);

} // namespace caraway::tests
