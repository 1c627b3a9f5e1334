/// Chooses the host that executes a request: the less loaded of two random hosts, preferring the own failure
/// domain.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

/// What a candidate reports about itself, as opposed to what this node measures.
struct candidate_host {
    std::string host;
    bool same_domain{false};
    std::uint32_t reported_in_flight{0};
    std::uint32_t limit{1};
    duration report_age{0};
    bool has_room{true}; ///< Whether the limit that its target states allows another request of this node.
};

class target_chooser {
public:
    void record_sent(std::string const& host, time_point now);

    /// `failed` means that the host or its target broke down, `refused` that it was overloaded.
    void record_answer(std::string const& host, duration response_time, bool failed, bool refused,
                       time_point now);

    /// A request sent to the host will not be answered.
    void record_abandoned(std::string const& host);

    /// `random` supplies both draws. After its ejection a host is probed with a single idempotent request
    /// before it is used again. Empty when no candidate may be used.
    std::optional<std::string> choose(std::vector<candidate_host> const& candidates, bool idempotent,
                                      std::uint64_t random, time_point now);

    /// The host's next use counts as its first: its target has had no work for a while.
    void restart_use(std::string const& host);

    bool is_ejected(std::string const& host, time_point now) const;
    std::vector<std::string> ejected_hosts(time_point now) const;
    int outstanding(std::string const& host) const;

    /// Drops hosts that are no longer listed and have no outstanding requests.
    void remove_unlisted(std::vector<std::string> const& hosts);

private:
    struct host_state {
        int outstanding{0};
        double smoothed_response_ms{0}; ///< Exponential moving average.
        double refusals{0};             ///< Fades over `refusal_time_constant`.
        time_point refusals_at;
        int consecutive_failures{0};
        int ejections{0};
        time_point ejected_until;
        bool probing{false};
        bool is_new{true}; ///< Not used yet, or not since `restart_use`.
        time_point first_used;
    };

    double load_of(candidate_host const& candidate, time_point now) const;
    bool may_use(std::string const& host, bool idempotent, time_point now) const;
    candidate_host const* pick_less_loaded(std::vector<candidate_host const*> const& usable,
                                           std::uint64_t random, time_point now) const;

    std::map<std::string, host_state> hosts;
};

} // namespace caraway
