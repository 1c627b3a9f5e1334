/// The deciding duty of a node: takes events and time, and gives effects. It owns no thread, socket or clock.
#pragma once

#include "node/core_event.hpp"
#include "node/document_replicator.hpp"
#include "node/executor.hpp"
#include "node/node_context.hpp"
#include "node/originator.hpp"
#include "platform/platform_source.hpp"

#include <memory>
#include <string>

namespace caraway {

/// What the operators' page shows; made anew from time to time and never changed.
struct node_status {
    bool ready{false};
    bool documents_ready{false}; ///< Configuration and host list are in force.
    node_phase phase{node_phase::starting};
    std::string metrics_text; ///< Prometheus text format.
    std::string status_json;
    std::uint64_t configuration_revision{0};
    bool reads_platform{false};
};

class node_core {
public:
    node_core(settings wanted, platform_traits traits, std::uint64_t incarnation, rights_timing limits,
              time_point started);

    void handle(core_event&& event, time_point now);
    void tick(time_point now);

    /// Moves out what is to be done.
    effects take_effects();

    /// `with_texts`: also the texts of metrics and status.
    std::shared_ptr<node_status> status(bool with_texts, time_point now);

    /// Whether this node is one of its domain's readers of the platform.
    bool reads_platform() const;
    /// Whether everything that was begun is answered, so that a draining node may stop.
    bool is_idle() const;
    bool is_ready() const;

private:
    void on_link(link_event&& event, time_point now);
    void on_message(addressed_message&& received, time_point now);
    void on_compiled(compiled_event&& event, time_point now);
    void on_phase(node_phase phase, time_point now);
    void on_gossip(addressed_message const& received, time_point now);
    void use_hosts(host_list const& list, time_point now);
    void use_configuration(configuration_pointer configuration, time_point now);
    /// The part of every rate and burst that the own failure domain holds: as configured, or by listed hosts.
    double domain_weight() const;
    void configure_rights(time_point now);
    void gossip(time_point now);
    void send_gossip(std::string const& host, bool wants_answer, time_point now);
    void flush(time_point now);
    host_report own_report(time_point now);

    node_context context;
    executor local;
    originator origin;
    document_replicator spread;
    std::vector<listed_host> hosts;
    rate_tolerance tolerance;
    time_point last_now;
    time_point next_gossip;
    time_point next_rights;
    time_point next_peers;
    time_point next_cleaning;
    std::size_t gossip_turn{0};
    bool tells_suspects{false};
};

} // namespace caraway
