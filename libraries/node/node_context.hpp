/// What the parts of the deciding duty share.
#pragma once

#include "config/settings.hpp"
#include "membership/rate_lease_manager.hpp"
#include "node/effects.hpp"
#include "node/peer_table.hpp"
#include "policy/admission_view.hpp"
#include "policy/local_rate_share.hpp"
#include "policy/quarantine.hpp"
#include "policy/retry_allowance.hpp"
#include "policy/service_retry_budget.hpp"
#include "policy/target_chooser.hpp"
#include "telemetry/metrics.hpp"

#include <deque>
#include <functional>

namespace caraway {

/// Where the node is in its life; named after the states of lifecycle.scxml.
enum class node_phase : std::uint8_t { starting, serving, draining, stopped };

/// A message for a host, which may be this one.
struct addressed_message {
    std::string from;
    connection_id connection{0}; ///< 0 for a message of this node to itself.
    message content;
};

/// The part of the drain during which a leaving node still takes requests: callers that were not told yet
/// come for two seconds, and the longest request that is served then has as much time again.
inline constexpr double draining_admission_part = 0.4;

struct node_context {
    node_context(settings wanted, std::uint64_t own_incarnation, lease_timing limits, time_point started)
        : options(std::move(wanted)), incarnation(own_incarnation),
          peers(options.host, options.failure_domain, out),
          rights(options.host, options.failure_domain, own_incarnation, limits, started,
                 options.rate_shards) {}

    /// Sends to a host; a message to this host itself is handled in the same round. False when there is no
    /// link.
    bool deliver(std::string const& host, message content, time_point now, connection_id preferred = 0,
                 connection_id* used = nullptr) {
        if (host == this->options.host) {
            this->local.push_back({host, 0, std::move(content)});
            return true;
        }
        return this->peers.send(host, std::move(content), now, preferred, used);
    }

    /// Whether the node is leaving and what it took on now could no longer be answered in time.
    bool is_past_admission(time_point now) const {
        bool const leaves = this->phase == node_phase::draining || this->phase == node_phase::stopped;
        return leaves &&
               now - this->draining_since >= duration{this->options.drain_ms} * draining_admission_part;
    }

    bool is_controlled() const { return this->options.mode == control_mode::full; }

    settings options;
    std::uint64_t incarnation;
    node_phase phase{node_phase::starting};
    time_point draining_since;
    configuration_pointer configuration;
    std::string own_instance;      ///< The start of the own target that the host list names.
    bool target_is_leaving{false}; ///< The host list says that the own target takes no new work.
    effects out;
    std::deque<addressed_message> local;
    peer_table peers;
    rate_lease_manager rights;
    local_rate_share local_rates;
    admission_view admissions;
    target_chooser chooser;
    organisation_retry_budget budget;
    service_retry_budget repeats;
    quarantine suspects;
    metrics numbers;
    /// What this node reports of itself.
    std::function<host_report()> report;
};

} // namespace caraway
