/// Several rate_lease_manager objects joined by a network that loses, doubles and delays, under a lagging
/// host list.
#pragma once

#include "membership/rate_lease_manager.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace caraway::tests {

inline constexpr double step_ms = 5;
inline char const* const tested_organisation = "org";

/// How unkind the network and the list are.
struct simulation_faults {
    double loss_probability{0};
    double duplicate_probability{0};
    double delay_probability{0}; ///< Part of the messages that come up to three seconds late.
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
    spike_and_pause, ///< A host borrows a lot, and stops before it can spend it.
};

inline constexpr int simulation_action_count = 10;

class rate_simulation {
public:
    rate_simulation(int domains, int hosts_per_domain, rate_limit total, simulation_faults wanted,
                    std::uint64_t seed);

    void apply(simulation_action action, std::uint64_t choice);
    /// Runs on; each step every running host gets requests with the mean `requests_per_second` in all.
    void run(double span_ms, double requests_per_second, int only_host = -1);

    /// By how many requests any window was exceeded; 0 or less keeps the promise.
    double admission_excess() const;
    /// By how many requests all that could be spent or lent at one instant exceeded the burst, at the worst.
    double max_token_excess() const { return this->token_excess; }
    /// The most hosts that owned one pool at one instant; 1 keeps the promise.
    int max_owner_count() const { return this->greatest_owner_count; }
    std::size_t admitted() const { return this->admissions.size(); }
    std::size_t refused() const { return this->refusals; }
    double now_ms() const { return this->now.milliseconds; }
    bool all_past_takeover_delay() const;

private:
    struct simulated_host {
        std::string name;
        std::string domain;
        std::unique_ptr<rate_lease_manager> authority;
        std::uint64_t incarnation{0};
        bool running{false};
        bool paused{false};
        std::uint64_t list_revision{0};
        std::vector<std::pair<std::string, lease_message>>
            inbox; ///< Waiting in the socket of a paused process.
        std::size_t waiting{0};
    };
    struct message_in_transit {
        double at;
        std::string from;
        outgoing_lease_message sent;
        bool operator<(message_in_transit const& other) const { return this->at > other.at; }
    };
    struct list_version {
        double published;
        domain_hosts hosts;
    };

    void start(simulated_host& host);
    void publish();
    void step(double requests_per_step, int only_host);
    void send(simulated_host& host);
    void offer(simulated_host& host, double count);
    void receive_list(simulated_host& host);
    void check_invariants();
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    rate_limit total;
    int domain_count;
    simulation_faults faults;
    std::mt19937_64 random;
    time_point now{10'000};
    std::vector<simulated_host> hosts;
    std::vector<list_version> lists;
    domain_hosts listed;
    std::priority_queue<message_in_transit> in_transit;
    std::string partitioned_domain;
    std::vector<double> admissions;
    std::size_t refusals{0};
    double token_excess{-1e9};
    int greatest_owner_count{0};
    std::uint64_t next_incarnation{1};
};

} // namespace caraway::tests
