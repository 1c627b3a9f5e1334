/// The calls that the runs at a target are expected to make, kept until a call of the target tells its callee
/// of them. So a callee learns of the work that begins from the first calls, without knowing which run made
/// which call; calls that fail or are slow hide nothing of it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace caraway {

/// Offered calls of one organisation and priority class.
struct offered_calls {
    std::string organisation;
    std::uint8_t priority{0};
    double count{0}; ///< Includes those of requests that entry nodes refuse.
};

class owed_calls {
public:
    /// A run began that makes `calls` of the callee; `calls` stands for the offered calls.
    void add(std::string const& callee, offered_calls const& calls);
    /// Takes the largest entry of the callee; an entry with a count of 0 when there is none.
    offered_calls take(std::string const& callee);

private:
    using owner = std::pair<std::string, std::uint8_t>; ///< Organisation and priority class.

    std::map<std::string, std::map<owner, double>> by_callee;
};

} // namespace caraway
