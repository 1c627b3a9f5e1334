/// Rates and bursts while a configuration that lowers them spreads over the fleet.
///
/// Until every host must have the new configuration, callers may rely on the former one, so that a lowered
/// limit is used only after a span. A raised one is used at once.
#pragma once

#include "base/clock.hpp"
#include "policy/rate_plan.hpp"

#include <string>
#include <unordered_map>

namespace caraway {

class former_rates {
public:
    /// `used_span`: how long a former limit is used after a configuration has lowered it.
    explicit former_rates(duration used_span) : span(used_span) {}

    /// Records the limits of the configuration in force, by organisation.
    void update(std::unordered_map<std::string, rate_part> limits, time_point now);

    /// The limit to be used now, of an organisation that has one.
    rate_part limit(std::string const& organisation, time_point now) const;

    /// Drops former limits whose span is over. Returns whether there were any.
    bool remove_expired(time_point now);

private:
    struct former_limit {
        rate_part limit;
        time_point until;
    };

    duration span;
    std::unordered_map<std::string, rate_part> configured;
    std::unordered_map<std::string, former_limit> former;
};

} // namespace caraway
