/// The settings of an experiment: a deployment, its load, and the faults with their times.
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
    double load{0.7};        ///< Offered to the bottleneck, as a fraction of its capacity.
    double rate_factor{6};   ///< An organisation's configured rate over its normal load.
    double surge{1};         ///< Multiplies all load during the overload.
    double slow_factor{1};   ///< Multiplies the bottleneck's service time during the overload.
    double greedy_factor{1}; ///< Multiplies the largest organisation's load during the overload.
    int resends{0};          ///< How often callers retry at once, without a delay.
    bool kill{false};        ///< Kills a host of the bottleneck when the overload starts.
    bool one_entry{false};   ///< The largest organisation's callers all use one failure domain.
};

/// Reads a TOML file; an unknown name is an error.
result<scenario> read_scenario(std::string const& path);

} // namespace caraway::lab
