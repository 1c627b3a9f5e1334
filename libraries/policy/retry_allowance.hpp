/// Limits for retries: per request over its whole call tree, and per organisation.
#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <string>
#include <unordered_map>

namespace caraway {

/// One node's part of the retries that a request may use. Attempts reserved for a nested call are not
/// available here until they are returned, so the parts of all nodes never sum to more than the initial
/// allowance.
class retry_allowance {
public:
    retry_allowance() = default;
    explicit retry_allowance(int attempts) : remaining_attempts(attempts) {}

    /// Reserves the larger half for a nested call; concurrent calls share what earlier ones left.
    int reserve_for_call() {
        int const reserved = (this->remaining_attempts + 1) / 2;
        this->remaining_attempts -= reserved;
        return reserved;
    }

    /// Returns what a nested call did not use, capped at what was reserved for it.
    void return_unused(int unused, int reserved) {
        this->remaining_attempts += std::clamp(unused, 0, reserved);
    }

    /// Consumes one attempt; false when none is left.
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

/// Limits an organisation's retries to a fraction of its first attempts.
class organisation_retry_budget {
public:
    /// Earns a tenth of a retry.
    void record_first_attempt(std::string const& organisation) {
        auto& credit = this->credits.try_emplace(organisation, max_credit).first->second;
        credit = std::min(max_credit, credit + credit_per_attempt);
    }

    /// Consumes one retry; false when the budget is exhausted.
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
