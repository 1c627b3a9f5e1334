/// Holds the repeats that may reach a service's targets down to a part of its first attempts.
#pragma once

#include <algorithm>
#include <string>
#include <unordered_map>

namespace caraway {

/// All nodes together keep below a bound for the fleet because each earns its repeats by its own first
/// attempts alone, and keeps hardly any in hand: a constant for each node would grow with the fleet.
class service_retry_budget {
public:
    /// A first attempt of a request for the service leaves this node.
    void record_first_attempt(std::string const& service) {
        auto& credit = this->credits[service];
        credit = std::min(max_credit, credit + credit_per_attempt);
    }

    /// Takes one repeat; false when the budget is spent.
    bool try_consume(std::string const& service) {
        auto& credit = this->credits[service];
        if (credit < 1) {
            return false;
        }
        credit -= 1;
        return true;
    }

private:
    /// Calls below a repeated request are repeats of their services too: four levels that each repeat one
    /// call in twenty stay below a fifth.
    static constexpr double credit_per_attempt = 0.05;
    static constexpr double max_credit = 2;

    std::unordered_map<std::string, double> credits;
};

} // namespace caraway
