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
    explicit retry_allowance(int attempts) : remaining(attempts) {}

    /// Takes the larger half for a call below; concurrent calls get what earlier ones left.
    int hand_down() {
        int const part = (this->remaining + 1) / 2;
        this->remaining -= part;
        return part;
    }

    /// Takes back what a call below did not use; `handed` bounds what it may claim.
    void give_back(int unused, int handed) { this->remaining += std::clamp(unused, 0, handed); }

    /// Takes one attempt; false when none is left.
    bool take() {
        if (this->remaining <= 0) {
            return false;
        }
        --this->remaining;
        return true;
    }

    int left() const { return this->remaining; }

private:
    int remaining{0};
};

/// Holds an organisation's retries down to a part of its first attempts.
class retry_budget {
public:
    /// A first attempt earns a tenth of a retry.
    void note_first_attempt(std::string const& organisation) {
        auto& credit = this->credits.try_emplace(organisation, greatest_credit).first->second;
        credit = std::min(greatest_credit, credit + earned_per_attempt);
    }

    /// Takes one retry; false when the budget is spent.
    bool take(std::string const& organisation) {
        auto& credit = this->credits.try_emplace(organisation, greatest_credit).first->second;
        if (credit < 1) {
            return false;
        }
        credit -= 1;
        return true;
    }

private:
    static constexpr double earned_per_attempt = 0.1;
    static constexpr double greatest_credit = 10;

    std::unordered_map<std::string, double> credits;
};

} // namespace caraway
