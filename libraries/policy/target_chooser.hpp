/// Chooses the host that executes a request: the better of two random hosts, preferring the own failure
/// domain.
///
/// `choose` compares requests in flight over the limit. `place` compares what a request is expected to lose
/// at each host: time spent waiting and on the way, the price of bytes that leave the failure domain or the
/// region as a time, and the share of failed answers.
#pragma once

#include "base/clock.hpp"

#include <array>
#include <cstdint>
#include <deque>
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
    bool same_region{true};
    duration reported_wait{0};     ///< Of a new request.
    duration request_time{0};      ///< How long a request holds a slot of its target; 0 if unknown.
    double work_time_percent{100}; ///< Of its target at the time of the report.
    double failure_fraction{0};    ///< Of the latest answers of its target.
};

/// How a host whose target has started or recovered gets its share of requests.
struct warm_up_treatment {
    bool has_fixed_span{true};       ///< Its load counts as higher for a fixed time.
    bool awaits_first_answer{false}; ///< This node sends one request before it sends others.
};

/// Where a request is sent.
struct placement {
    std::string host;
    /// If the request would wait longer than this at the host, another host is better; 0 if none is known.
    duration pass_on_above{0};
};

class target_chooser {
public:
    void set_warm_up(warm_up_treatment wanted) { this->warm_up = wanted; }

    void record_sent(std::string const& host, time_point now);

    /// `failed` means that the host or its target broke down, `refused` that it was overloaded.
    void record_answer(std::string const& host, duration response_time, bool failed, bool refused,
                       time_point now);

    /// Time that a request to the host and its answer spent on the way.
    void record_link_delay(std::string const& host, duration delay, time_point now);

    /// A request sent to the host will not be answered.
    void record_abandoned(std::string const& host);

    /// `random` supplies both draws. After its ejection a host is probed with a single idempotent request
    /// before it is used again. Empty when no candidate may be used.
    std::optional<std::string> choose(std::vector<candidate_host> const& candidates, bool idempotent,
                                      std::uint64_t random, time_point now);

    /// The host counts as newly used from now on: its target has had no work for a while.
    void restart_use(std::string const& host, time_point now);

    /// Like `choose`, by expected wait and distance. Ejected hosts are probed while more than half of the
    /// candidates are ejected, and all are used when all are ejected.
    std::optional<placement> place(std::vector<candidate_host> const& candidates, bool idempotent,
                                   std::uint64_t random, time_point now) const;

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
        bool is_new{true};      ///< Not used yet.
        bool is_unproven{true}; ///< Has not answered since then, `restart_use` or its ejection.
        time_point first_used;
        std::deque<time_point> recent_sends; ///< Of the last `report_lifetime`.
        time_point answered_at;   ///< The last answer, or the first request sent since none was outstanding.
        double link_delay_ms{0};  ///< Exponential moving average.
        time_point link_delay_at; ///< 0 before the first measurement.
    };
    struct scored_host {
        candidate_host const* candidate{nullptr};
        double score{0};    ///< Expected loss in milliseconds.
        double distance{0}; ///< The part of the score that does not depend on the host's load.
    };

    std::vector<candidate_host const*> placeable(std::vector<candidate_host> const& candidates,
                                                 bool idempotent, time_point now) const;
    double requests_at(candidate_host const& candidate, host_state const& state, time_point now) const;
    scored_host score(candidate_host const& candidate, double usual_failures, time_point now) const;

    double load_of(candidate_host const& candidate, time_point now) const;
    /// The part of a host's limit that counts as occupied because the host is newly used.
    double warm_up_penalty(host_state const& state, time_point now) const;
    /// Whether the first request to a host is under way: each entry node sends one before it hears how many
    /// the target bears.
    bool awaits_first_answer(std::string const& host, time_point now) const;
    bool may_use(std::string const& host, bool idempotent, time_point now) const;
    candidate_host const* pick_less_loaded(std::vector<candidate_host const*> const& usable,
                                           std::uint64_t random, time_point now) const;

    std::map<std::string, host_state> hosts;
    warm_up_treatment warm_up;
};

} // namespace caraway
