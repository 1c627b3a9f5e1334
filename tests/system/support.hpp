/// Configurations, hosts and helper functions for the system tests.
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

/// Two failure domains with one host each of the services front, middle and back; front calls middle, and
/// middle calls back.
std::vector<fleet_host> chain_hosts();

/// Two failure domains, each with two hosts of the service front.
std::vector<fleet_host> flat_hosts();

header_map with_key(std::string const& key = first_key);

/// Gets a ticket for a POST to `path` through a node; "" when none was issued.
std::string get_ticket(fleet& system, std::size_t index, std::string const& path);

header_map with_ticket(std::string const& ticket, std::string const& key = first_key);

/// Polls until the configuration revision is in force on every running node; false after `limit`.
bool wait_configuration_revision(fleet& system, std::uint64_t revision, std::chrono::milliseconds limit);

/// The greatest number of executions of a single request.
int max_runs_per_request(fleet const& system);

} // namespace caraway::tests
