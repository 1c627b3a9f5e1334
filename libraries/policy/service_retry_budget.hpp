/// Limits the retries sent to a service's targets to a fraction of its first attempts.
#pragma once

#include <algorithm>
#include <string>
#include <unordered_map>

namespace caraway {

/// Each node earns retries only by its own first attempts and accumulates at most two. So the retries of all
/// nodes stay within a bound for the fleet; a constant number per node would grow with the fleet.
class service_retry_budget {
public:
    /// Call for every first attempt of a request that this node sends to the service.
    void record_first_attempt(std::string const& service) {
        auto& credit = this->credits[service];
        credit = std::min(max_credit, credit + credit_per_attempt);
    }

    /// Consumes one retry; false when the budget is exhausted.
    bool try_consume(std::string const& service) {
        auto& credit = this->credits[service];
        if (credit < 1) {
            return false;
        }
        credit -= 1;
        return true;
    }

private:
    /// Nested calls of a retried request repeat work of their services too: if each of four levels retries
    /// one call in twenty, the additional work is about a fifth (1.05^4 - 1 = 21.6 %).
    static constexpr double credit_per_attempt = 0.05;
    static constexpr double max_credit = 2;

    std::unordered_map<std::string, double> credits;
};

} // namespace caraway
