/// A fleet of node cores in simulated time: links, targets and callers without sockets, threads or sleep.
///
/// Messages arrive after a fixed delay. Partitioned, killed, paused and draining hosts behave as they appear
/// to other hosts. All runs at targets and all answers to callers are recorded, so that a test can check the
/// guarantees afterwards.
#pragma once

#include "node/node_core.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace caraway::simulation {

/// The services, delays and settings of a simulated fleet.
struct fleet_plan {
    struct target_service {
        std::string name;
        int hosts{3};
        int slots{4};
        duration service_time{20};   ///< Of each run, without the time of its call.
        std::string calls;           ///< Service that each run calls once; empty for none.
        double lost_answer_share{0}; ///< Fraction of the runs that end without an answer.
        duration connect_time{0};    ///< How long each request waits for a connection to its target.
    };
    std::vector<target_service> services;
    std::vector<std::string> domains{"north", "south"};
    item_set configuration;
    duration delay_in_domain{0.2}; ///< One-way delay of a message.
    duration delay_between_domains{3};
    double drain_ms{5000};
    rate_tolerance tolerance;
    cold_tolerance cold;
    call_correlation calls{call_correlation::token};
    placement_rule placement{placement_rule::load};
    std::uint64_t seed{1};
};

/// A plan with the routes "/SERVICE/read" (idempotent) and "/SERVICE/write" (without tickets), open to all.
fleet_plan make_plan(std::vector<fleet_plan::target_service> services);

/// The outcome of one caller's request.
struct caller_result {
    std::string path;
    time_point sent;
    std::optional<time_point> answered;
    outcome result{outcome::unknown};
    result_code code{result_code::ok};
    std::uint16_t status{0};
    double retry_after_ms{0};
    std::string ticket; ///< Issued with the answer; empty for none.
};

/// One run at a target.
struct target_run {
    std::string host;
    std::string request_id;
    std::string path;
    time_point started;
    std::optional<time_point> ended;
    duration time_left; ///< What the target was told; 0 for no limit.
};

class simulated_fleet {
public:
    explicit simulated_fleet(fleet_plan initial_plan);
    ~simulated_fleet();
    simulated_fleet(simulated_fleet const&) = delete;
    simulated_fleet& operator=(simulated_fleet const&) = delete;

    /// Advances the simulated time; `each_step` is called once per simulated millisecond.
    void run_for(duration span, std::function<void()> const& each_step = {});
    time_point now() const { return this->clock; }

    /// Sends a caller's request. Returns its id, the key in `answers`, or an empty text when the host is
    /// dead.
    std::string send_request(std::string const& host, std::string const& path, double timeout_ms = 1000,
                             std::string const& key_sha256 = {}, std::string const& ticket = {});
    void disconnect(std::string const& request_id);

    std::vector<std::string> hosts() const;
    std::vector<std::string> hosts_of(std::string const& service) const;
    bool is_alive(std::string const& host) const;
    bool is_paused(std::string const& host) const;
    /// Whether the host's node reads the platform itself.
    bool reads_platform(std::string const& host) const;

    void kill(std::string const& host);
    void restart(std::string const& host);
    /// Suspends the process for the span. Its connections stay open, and what is sent to it is queued.
    void pause(std::string const& host, duration span);
    /// All links of the host lose every message during the span.
    void partition(std::string const& host, duration span);
    /// Starts draining; the process is killed after the plan's `drain_ms`.
    void terminate(std::string const& host);
    /// What the host's target states in its answers from now on. It enforces nothing by itself.
    void set_target_statement(std::string const& host, target_statement statement);
    /// The host's target is cold for the span; only health checks tell. It enforces nothing by itself.
    void set_target_cold(std::string const& host, duration span);
    /// Sets the time of each later run at the host's target.
    void set_service_time(std::string const& host, duration span);
    /// The next run at the host's target ends without an answer, and the target refuses connections then.
    void crash_next_run(std::string const& host);
    /// The status of each later answer of the host's target; the node passes any on, as one of an older
    /// version does.
    void set_answer_status(std::string const& host, std::uint16_t status);
    /// Serves a new host list to every live host that is not partitioned.
    void publish_hosts(std::vector<listed_host> hosts);
    /// The same with these evacuated failure domains in place of the former ones.
    void evacuate(std::vector<std::string> const& domains);
    void publish_configuration(item_set const& items);
    /// From now on a published configuration is read only by hosts that read the platform.
    void follow_platform() { this->platform_is_followed = true; }
    /// Whether the platform serves the host, or turns it away when it reads.
    void serve_from_platform(std::string const& host, bool is_served);
    /// Calls to the platform since `follow_platform`; each host that reads makes one in `platform_interval`.
    std::size_t platform_calls() const { return this->platform_call_count; }
    /// The same, but only this host reads it from the platform.
    void publish_configuration_at(std::string const& host, item_set const& items);
    /// The revision of the configuration that the host has in force; 0 when it is dead.
    std::uint64_t configuration_revision(std::string const& host) const;
    std::vector<listed_host> const& listed_hosts() const { return this->list.hosts; }

    std::map<std::string, caller_result> const& answers() const { return this->caller_results; }
    std::vector<target_run> const& runs() const { return this->target_runs; }
    /// Runs of the request itself at targets, without the runs of its nested calls.
    std::size_t runs_of(std::string const& request_id) const;
    /// The largest number of concurrent runs beyond its slots that any target had.
    int max_runs_over_slots() const { return this->peak_over_slots; }

private:
    struct node;
    struct link_end;
    struct delivery;

    void step();
    void start(node& entry);
    void handle_event(node& entry, core_event&& event);
    /// Handles what has arrived while the process was paused, in one turn of its loop.
    void handle_held_events(node& entry);
    void execute_effects(node& entry);
    void dial(node& entry, dial_request const& request);
    void close(node& entry, connection_id connection);
    void send_message(node& entry, outgoing_message&& outgoing);
    void connect_to_target(node& entry, target_request&& request);
    void cancel_at_target(node& entry, std::uint64_t id);
    void run_at_target(node& entry, target_request&& request);
    void call_below(node& entry, std::size_t run_index);
    void end_run(node& entry, std::uint64_t id, bool cancelled);
    void answer_callers(node& entry, std::vector<listener_answer>&& answers, bool egress);
    duration one_way_delay(node const& from, node const& to) const;
    bool is_partitioned(node const& entry) const;
    void offer_documents(node& entry);
    void read_platform(node& entry);
    void offer_hosts();

    fleet_plan plan;
    std::mt19937_64 random;
    time_point clock{1000};
    std::map<std::string, std::unique_ptr<node>> nodes;
    std::multimap<double, delivery> pending_deliveries; ///< By due time in milliseconds.
    host_list list;
    bundle configuration;
    std::uint64_t revision{1};
    std::uint64_t next_request_id{1};
    std::uint64_t next_incarnation{1};
    std::map<std::string, caller_result> caller_results;
    /// The listener's id of an unanswered request to its host and request id.
    std::map<std::uint64_t, std::pair<std::string, std::string>> open_requests;
    /// The listener's id of a nested call to the index of the run that makes it.
    std::map<std::uint64_t, std::size_t> runs_waiting_for_call;
    std::vector<target_run> target_runs;
    int peak_over_slots{0};
    bool platform_is_followed{false};
    std::size_t platform_call_count{0};
};

} // namespace caraway::simulation
