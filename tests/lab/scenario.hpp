/// An experiment: a deployment, its load, and what goes wrong when.
#pragma once

#include "base/problem.hpp"

#include <string>

namespace caraway::lab {

struct scenario {
    std::string name;
    std::string deployment{"giruete"}; ///< giruete or nguzo.
    double seconds{14};
    double overload_from{4}; ///< Seconds after the start.
    double overload_to{9};
    double load{0.7};        ///< Offered to the bottleneck, as a part of what it can carry.
    double rate_factor{6};   ///< An organisation's rate over its ordinary load.
    double surge{1};         ///< Multiplies all load during the overload.
    double slow_factor{1};   ///< Multiplies the bottleneck's time of work during the overload.
    double greedy_factor{1}; ///< Multiplies the largest organisation's load during the overload.
    int resends{0};          ///< Callers try again at once this many times.
    bool kill{false};        ///< Kills a host of the bottleneck when the overload begins.
    bool one_entry{false};   ///< All callers of the largest organisation enter at one failure domain.
};

/// Reads a TOML file; an unknown name is refused.
result<scenario> read_scenario(std::string const& path);

} // namespace caraway::lab
