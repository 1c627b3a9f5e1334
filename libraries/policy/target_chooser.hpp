/// Which host of a service executes a request: two choices by load, the own failure domain first.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

/// What is known of a candidate besides what this node measured itself.
struct candidate_host {
    std::string host;
    bool same_domain{false};
    std::uint32_t reported_in_flight{0};
    std::uint32_t limit{1};
    duration report_age{0};
};

class target_chooser {
public:
    /// A request was sent to the host.
    void record_sent(std::string const& host, time_point now);

    /// Its answer came after `response_time`. `failed`: the host or its target broke down. `refused`: it had
    /// no room.
    void record_answer(std::string const& host, duration response_time, bool failed, bool refused,
                       time_point now);

    /// A request sent there will get no answer.
    void record_abandoned(std::string const& host);

    /// Chooses among the candidates; `random` supplies the two draws. An ejected host is only tried again
    /// with an idempotent request. Empty when no candidate may be used.
    std::optional<std::string> choose(std::vector<candidate_host> const& candidates, bool idempotent,
                                      std::uint64_t random, time_point now);

    bool is_ejected(std::string const& host, time_point now) const;
    std::vector<std::string> ejected_hosts(time_point now) const;
    int outstanding(std::string const& host) const;

    /// Forgets hosts that are no longer listed.
    void remove_unlisted(std::vector<std::string> const& hosts);

private:
    struct host_state {
        int outstanding{0};
        double smoothed_response_ms{0}; ///< Smoothed time to an answer.
        double refusals{0};             ///< Fades over `refusal_time_constant`.
        time_point refusals_at;
        int consecutive_failures{0};
        int ejections{0};
        time_point ejected_until;
        bool probing{false};
        time_point first_used;
    };

    double load_of(candidate_host const& candidate, time_point now) const;
    bool may_use(std::string const& host, bool idempotent, time_point now) const;
    candidate_host const* pick_less_loaded(std::vector<candidate_host const*> const& usable,
                                           std::uint64_t random, time_point now) const;

    std::map<std::string, host_state> hosts;
};

} // namespace caraway
