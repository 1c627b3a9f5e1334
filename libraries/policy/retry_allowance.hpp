/// The further attempts that one request may cost, conserved over its whole call tree.
#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <string>
#include <unordered_map>

namespace caraway {

/// One node's part of a request's allowance. What is handed to a call below is not here until it comes back,
/// so the parts of all nodes never sum to more than the first one.
class retry_allowance {
public:
    retry_allowance() = default;
    explicit retry_allowance(int attempts) : remaining_attempts(attempts) {}

    /// Takes the larger half for a call below; concurrent calls get what earlier ones left.
    int reserve_for_call() {
        int const reserved = (this->remaining_attempts + 1) / 2;
        this->remaining_attempts -= reserved;
        return reserved;
    }

    /// Takes back what a call below did not use; `reserved` bounds what it may claim.
    void return_unused(int unused, int reserved) {
        this->remaining_attempts += std::clamp(unused, 0, reserved);
    }

    /// Takes one attempt; false when none is left.
    bool try_consume() {
        if (this->remaining_attempts <= 0) {
            return false;
        }
        --this->remaining_attempts;
        return true;
    }

    int remaining() const { return this->remaining_attempts; }

private:
    int remaining_attempts{0};
};

/// Holds an organisation's retries down to a part of its first attempts.
class organisation_retry_budget {
public:
    /// A first attempt earns a tenth of a retry.
    void record_first_attempt(std::string const& organisation) {
        auto& credit = this->credits.try_emplace(organisation, max_credit).first->second;
        credit = std::min(max_credit, credit + credit_per_attempt);
    }

    /// Takes one retry; false when the budget is spent.
    bool try_consume(std::string const& organisation) {
        auto& credit = this->credits.try_emplace(organisation, max_credit).first->second;
        if (credit < 1) {
            return false;
        }
        credit -= 1;
        return true;
    }

private:
    static constexpr double credit_per_attempt = 0.1;
    static constexpr double max_credit = 10;

    std::unordered_map<std::string, double> credits;
};

} // namespace caraway
