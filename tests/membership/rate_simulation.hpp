/// Simulates several rate_lease_manager objects with a network that loses, duplicates and delays messages,
/// and with a lagging host list.
#pragma once

#include "membership/rate_lease_manager.hpp"
#include "policy/local_rate_share.hpp"
#include "policy/rate_plan.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace caraway::tests {

inline constexpr double step_ms = 5;
inline char const* const tested_organisation = "org";

struct simulation_faults {
    double loss_probability{0};
    double duplicate_probability{0};
    double delay_probability{0}; ///< Of a delay of up to three seconds.
    double max_list_lag_ms{50};
};

enum class simulation_action : std::uint8_t {
    restart,
    pause,
    resume,
    join,
    kill_and_unlist,
    leave,
    partition,
    heal,
    unlist_paused,
    spike_and_pause, ///< A host leases many tokens and is paused before it can consume them.
    restart_all,
    unlist_running, ///< The target beside a host leaves; the host runs on.
    relist,         ///< All running hosts that have not left.
    isolate,        ///< A host loses the messages from and to all others.
};

inline constexpr int simulation_action_count = 14;

class rate_simulation {
public:
    /// With a tolerance, pools are placed by the size of the rate, as on a platform that publishes one.
    rate_simulation(int domains, int hosts_per_domain, rate_limit fleet_limit, simulation_faults wanted,
                    std::uint64_t seed, rate_tolerance tolerated = {});

    void apply(simulation_action action, std::uint64_t choice);
    /// `requests_per_second` is the mean of all hosts together; with `only_host` one host gets all requests.
    void run(double span_ms, double requests_per_second, int only_host = -1);
    /// As `run`, with all requests at the hosts of one failure domain.
    void run_in_domain(double span_ms, double requests_per_second, std::string const& domain);

    /// The greatest number of requests by which any window exceeded rate and burst; 0 or less means no
    /// violation.
    double admission_excess() const;
    /// The greatest number of requests in any window of the tolerance beyond what it allows.
    double window_excess() const;
    /// The greatest number of requests by which all available and grantable tokens of one instant exceeded
    /// the burst.
    double max_token_excess() const { return this->token_excess; }
    /// The greatest number of hosts that owned the same pool at one instant; more than 1 is a violation.
    int max_owner_count() const { return this->greatest_owner_count; }
    std::size_t admitted() const { return this->admissions.size(); }
    std::size_t refused() const { return this->refusals; }
    /// The requests that one token bucket for the whole fleet would have refused.
    std::size_t ideal_refusals() const;
    std::size_t messages() const { return this->message_count; }
    double now_ms() const { return this->now.milliseconds; }
    bool all_past_takeover_delay() const;

private:
    struct simulated_host {
        std::string name;
        std::string domain;
        std::unique_ptr<rate_lease_manager> manager;
        local_rate_share local;
        std::uint64_t incarnation{0};
        bool running{false};
        bool paused{false};
        bool isolated{false};
        bool has_left{false};
        std::uint64_t list_revision{0};
        std::vector<std::pair<std::string, lease_message>>
            inbox;                  ///< Received by the socket, but not yet by a paused process.
        std::deque<double> waiting; ///< When each queued request arrived.
    };
    struct message_in_transit {
        double at;
        std::string from;
        outgoing_lease_message message;
        bool operator<(message_in_transit const& other) const { return this->at > other.at; }
    };
    struct list_version {
        double published;
        domain_hosts hosts;
    };

    void start(simulated_host& host);
    void publish();
    void configure(simulated_host& host);
    bool accepts_load(simulated_host const& host, std::size_t index) const;
    void step(double requests_per_step);
    void send(simulated_host& host);
    void offer(simulated_host& host, double count);
    void receive_list(simulated_host& host);
    void check_invariants();
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    rate_limit fleet_limit;
    rate_tolerance tolerance;
    int only_host{-1};       ///< Index of the host that gets all requests; -1 when all do.
    std::string only_domain; ///< The only domain that gets requests; empty when all do.
    std::size_t message_count{0};
    int domain_count;
    simulation_faults faults;
    std::mt19937_64 random;
    time_point now{10'000};
    std::vector<simulated_host> hosts;
    std::vector<list_version> lists;
    domain_hosts listed;
    std::priority_queue<message_in_transit> in_transit;
    std::string partitioned_domain;
    std::vector<double> arrivals;
    std::vector<double> admissions;
    std::size_t refusals{0};
    double token_excess{-1e9};
    int greatest_owner_count{0};
    std::uint64_t next_incarnation{1};
};

} // namespace caraway::tests
