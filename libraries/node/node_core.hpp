/// The decision logic of a node: a state machine that consumes events and the current time, and produces
/// effects. It owns no thread, socket or clock.
#pragma once

#include "node/core_event.hpp"
#include "node/document_replicator.hpp"
#include "node/evacuation_control.hpp"
#include "node/executor.hpp"
#include "node/loop_watch.hpp"
#include "node/node_context.hpp"
#include "node/request_intake.hpp"
#include "node/request_router.hpp"
#include "platform/platform_source.hpp"
#include "policy/former_rates.hpp"

#include <map>
#include <memory>
#include <span>
#include <string>

namespace caraway {

/// A snapshot for the operators' page and the control thread; replaced periodically and never modified.
struct node_status {
    bool ready{false};
    bool documents_ready{false}; ///< A configuration and a host list are in force.
    node_phase phase{node_phase::starting};
    std::string metrics_text; ///< Prometheus text format.
    std::string status_json;
    std::uint64_t configuration_revision{0};
    std::shared_ptr<bundle const> configuration; ///< As published; keys are in it as hashes only.
    bool reads_platform{false};
    std::size_t call_count{0};      ///< Requests of callers and of the own target without an answer.
    std::size_t execution_count{0}; ///< Requests that wait for the own target or run there.
};

class node_core {
public:
    node_core(settings wanted, platform_traits traits, std::uint64_t incarnation, lease_timing limits,
              time_point started);

    /// Handles an event that arrived alone: `take_in`, and the start of the request that it may be.
    void handle(core_event&& event, time_point now);

    /// Handles an event of a turn of the loop, except that requests only wait for `start_next`. The events of
    /// a turn come in the order of their groups.
    void take_in(core_event&& event, time_point now);
    /// Starts the oldest request that was taken in and whose end has not arrived. False when there is none.
    bool start_next(time_point now);
    void run_periodic_tasks(time_point now);

    /// Records how late the loop that runs this core is, and logs a turn that was late.
    void record_loop_turn(loop_turn const& turn);

    /// Moves out the effects that have accumulated.
    effects take_effects();

    /// `with_texts`: includes `metrics_text` and `status_json`, which are expensive to generate.
    std::shared_ptr<node_status> status(bool with_texts, time_point now);

    /// Whether this node has to read the platform for its failure domain.
    bool reads_platform() const;
    /// Whether no request is live, so that a draining node may stop.
    bool is_idle() const;
    bool is_ready() const;
    /// How many events found the ring to this class full, for the metrics.
    void set_refused_event_count(std::uint64_t count) { this->refused_event_count = count; }

private:
    /// Keeps a request until it is started; refuses it when too many wait.
    void take_in_request(request_intake::item&& arrived, time_point now);
    void start_request(request_intake::item&& arrived, time_point now);
    void on_disconnect(disconnect_event const& event, time_point now);
    void on_link(link_event&& event, time_point now);
    void on_message(received_message&& received, time_point now);
    void on_document_checked(document_checked_event&& event, time_point now);
    void on_phase(node_phase phase, time_point now);
    void on_gossip(received_message const& received, time_point now);
    void apply_host_list(host_list const& list, time_point now);
    void apply_configuration(configuration_pointer configuration, time_point now);
    /// The fraction of every rate and burst that belongs to the own failure domain: its configured weight, or
    /// else its fraction of the listed hosts.
    double domain_rate_fraction() const;
    rate_limit make_rate_limit(rate_part const& whole, rate_plan const& plan) const;
    /// Notes which readers of the platform have links, and tells the others when the platform stops or starts
    /// serving this one.
    void observe_readers(time_point now);
    /// Those to which every host of the domain has a link.
    std::span<std::string const> first_readers() const;
    /// Whether the host, which may read the platform, does so as far as this one knows. `own_rank`: the place
    /// of this host among those that may read.
    bool is_live_reader(std::string const& host, std::size_t own_rank) const;
    void configure_rate_limits(time_point now);
    /// Tells the target table what cold targets of the listed hosts accept.
    void configure_cold_rates();
    /// Takes the targets as cold whose entries say so and have changed since the list before.
    void record_listed_cold(std::vector<listed_host> const& before, time_point now);
    /// Sends gossip to the next peer when the interval has passed, or to several at once when there is news.
    void gossip_if_due(time_point now);
    gossip_message make_gossip(bool wants_answer, time_point now);
    void send_gossip(std::string const& host, bool wants_answer, time_point now);
    /// Sends outgoing messages and handles messages of this node to itself, until none is left.
    void process_pending(time_point now);
    host_report own_report(time_point now);

    node_context context;
    request_intake intake;
    executor local_executor;
    evacuation_control evacuation;
    request_router router;
    document_replicator documents;
    std::vector<listed_host> hosts;
    rate_tolerance tolerance;
    former_rates used_rates;                                    ///< Of the organisations.
    std::array<time_point, document_kind_count> in_force_since; ///< By document kind.
    time_point last_event_time;
    time_point next_gossip;
    time_point next_urgent_gossip;
    time_point next_lease_tasks;
    /// Those of the own failure domain that may read the platform, the first ones before the others.
    std::vector<std::string> readers;
    /// When a link to each of them was last open, or first expected.
    std::map<std::string, time_point> reader_seen_at;
    time_point any_reader_seen_at; ///< The latest of the first `platform_reader_count`.
    time_point platform_lost_at;   ///< When the platform last stopped to serve this host.
    bool platform_serves{true};
    bool reported_lack{false}; ///< The other readers know that the platform does not serve this one.
    time_point next_peer_tasks;
    time_point next_cleanup;
    std::size_t next_gossip_index{0};
    std::uint64_t refused_event_count{0};
    bool has_new_suspects{false};
    bool has_news{false}; ///< For gossip to several peers at once.
};

} // namespace caraway
