/// What a node knows of what targets state, limits and that they are leaving: from the reports of the hosts
/// beside them, and from other nodes.
///
/// A host beside a target enforces the limit. Here it decides which of the hosts of a service are sent a
/// request, and it survives a restart of the host beside the target.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace caraway {

/// Identifies one incarnation of a target on every node; 0 for none.
using target_id = std::uint32_t;

/// `started_ms`: when the target started, in Unix milliseconds; 0 if unknown.
target_id make_target_id(std::string const& host, std::string const& instance, std::uint64_t started_ms);

struct target_state {
    std::optional<double> rate_limit; ///< Requests per second from all hosts together; empty for no limit.
    bool leaving{false};              ///< The target accepts no new requests.
    /// Hosts that sent requests to the target lately; 0 if unknown.
    std::uint32_t sender_count{0};
    time_point cold_until; ///< The target is cold until then.
    time_point updated;    ///< When the host beside the target reported it.
};

class target_state_table {
public:
    /// A report of the host beside the target.
    void record_report(target_id target, target_state const& reported);
    /// A target is cold, by the host list or by a report without the rest of its state.
    void record_cold(target_id target, time_point until, std::uint32_t sender_count, time_point now);
    /// What cold targets of each listed host accept, in requests per second; none for targets that are never
    /// cold.
    void configure_cold_rates(std::unordered_map<target_id, double> rates);
    /// What another node knows; ignored unless it is newer than what this node knows.
    void merge(target_id target, target_state const& heard, time_point now);

    /// Whether this node's part of the target's limit allows another request now.
    bool has_room(target_id target, time_point now) const;
    void record_sent(target_id target, time_point now);
    /// The host beside the target has refused a request because of the limit.
    void record_refusal(target_id target, time_point now);

    /// The limit that the target states.
    std::optional<double> rate_limit(target_id target) const;
    /// The requests per second that the target accepts by its limit and while it is cold; empty when nothing
    /// bounds them.
    std::optional<double> accepted_rate(target_id target, time_point now) const;
    /// How much longer the target is cold; 0 when it is not known to be.
    duration cold_for(target_id target, time_point now) const;
    bool is_leaving(target_id target) const;
    /// Null when nothing is known of the target.
    target_state const* find(target_id target) const;
    /// The targets that are limited, cold or leaving, which other nodes need to know.
    std::vector<std::pair<target_id, target_state>> restricted_targets(time_point now) const;
    /// Drops targets that have not been reported for a long time.
    void remove_expired(time_point now);

private:
    struct entry {
        target_state state;
        double tokens{1}; ///< This node's part of the limit.
        time_point refilled_at;
    };

    std::optional<double> accepted_rate(target_id target, target_state const& state, time_point now) const;
    double tokens_at(target_id target, entry const& known, time_point now) const;

    std::unordered_map<target_id, entry> targets;
    std::unordered_map<target_id, double> cold_rates;
};

} // namespace caraway
