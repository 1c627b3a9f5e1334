/// State shared by the components of `node_core`.
#pragma once

#include "config/settings.hpp"
#include "membership/rate_lease_manager.hpp"
#include "node/domain_evacuations.hpp"
#include "node/effects.hpp"
#include "node/peer_table.hpp"
#include "policy/admission_view.hpp"
#include "policy/cold_pace.hpp"
#include "policy/local_rate_share.hpp"
#include "policy/quarantine.hpp"
#include "policy/retry_allowance.hpp"
#include "policy/service_retry_budget.hpp"
#include "policy/service_room_view.hpp"
#include "policy/target_chooser.hpp"
#include "policy/target_state_table.hpp"
#include "telemetry/metrics.hpp"

#include <deque>
#include <functional>

namespace caraway {

/// The node's lifecycle phase, named after the states of lifecycle.scxml.
enum class node_phase : std::uint8_t { starting, serving, draining, closing, stopped };

/// A message from a host, which may be this one.
struct received_message {
    std::string from;
    connection_id connection{0}; ///< 0 for a message of this node to itself.
    message content;
    arrival arrived;
};

/// The fraction of the drain time during which a leaving node still accepts requests. Callers that have not
/// been notified yet keep sending for a while; later requests would only keep the node from ending early.
inline constexpr double draining_admission_fraction = 0.4;

struct node_context {
    node_context(settings wanted, std::uint64_t own_incarnation, lease_timing limits, time_point started)
        : options(std::move(wanted)), incarnation(own_incarnation),
          peers(options.host, options.failure_domain, pending_effects),
          rate_leases(options.host, options.failure_domain, own_incarnation, limits, started,
                      options.rate_shards) {
        this->chooser.set_warm_up({.has_fixed_span = options.target_warm_up == warm_up_rule::fixed,
                                   .awaits_first_answer = this->learns_pace()});
    }

    /// Sends to a host; a message to this host itself is queued and handled before the current event ends.
    /// False when there is no link.
    bool send_to_host(std::string const& host, message content, time_point now, connection_id preferred = 0,
                      connection_id* used = nullptr) {
        if (host == this->options.host) {
            this->loopback_messages.push_back({host, 0, std::move(content), {.read = now}});
            return true;
        }
        return this->peers.send(host, std::move(content), now, preferred, used);
    }

    bool is_leaving() const { return this->phase > node_phase::serving; }

    /// Whether a request that lasts as long as `span` would be answered before the node stops.
    bool has_time_for(duration span, time_point now) const {
        return !this->is_leaving() || (this->phase == node_phase::draining &&
                                       now + span <= this->draining_since + duration{this->options.drain_ms});
    }

    /// Whether the node is leaving and accepts no further requests of callers.
    bool has_stopped_admitting(time_point now) const {
        return this->is_leaving() &&
               now - this->draining_since >= duration{this->options.drain_ms} * draining_admission_fraction;
    }

    /// Stores what a host, which may be this one, reports about itself and its target.
    void record_report(std::string const& from, host_report const& report, time_point now) {
        this->peers.on_report(from, report, now);
        constexpr double thousandths = 1000;
        auto const rate_limit =
            report.target_is_limited ? std::optional(report.target_rate_limit / thousandths) : std::nullopt;
        auto const cold_until = now + duration{static_cast<double>(report.target_cold_ms)};
        if (report.target != 0) {
            this->targets.record_report(report.target, {.rate_limit = rate_limit,
                                                        .leaving = report.target_is_leaving,
                                                        .sender_count = report.target_senders,
                                                        .cold_until = cold_until,
                                                        .updated = now});
        } else if (report.target_cold_ms > 0) {
            // The host has no answer of its target yet, so that what other nodes know of a limit holds on.
            this->targets.record_cold(this->listed_target_of(from), cold_until, report.target_senders, now);
        }
    }

    /// The incarnation of the host's target that the host list names; 0 when it names none.
    target_id listed_target_of(std::string const& host) const {
        if (host == this->options.host) {
            return this->own_target_id;
        }
        auto const* peer = this->peers.find(host);
        return peer == nullptr ? 0 : peer->target;
    }

    /// Whether the operator has asked that the own target gets no new work.
    bool is_evacuated() const { return this->evacuations.contains(this->options.failure_domain); }

    bool places_by_wait() const {
        return this->options.mode == control_mode::full && this->options.placement == placement_rule::wait;
    }
    bool admits_by_cost() const { return this->options.admission == admission_basis::cost; }
    /// Whether the host beside a target learns how many requests it bears after it has started or recovered.
    bool learns_pace() const {
        return this->has_full_control() && this->options.target_warm_up == warm_up_rule::learned;
    }
    bool has_full_control() const { return this->options.mode == control_mode::full; }

    settings options;
    std::uint64_t incarnation;
    node_phase phase{node_phase::starting};
    time_point draining_since;
    configuration_pointer configuration;
    std::string own_target_instance; ///< The instance of the own target that the host list names.
    target_id own_target_id{0};      ///< Its incarnation; 0 while the host list does not name it.
    bool target_is_leaving{false};   ///< The own target accepts no new work, by the host list.
    effects pending_effects;
    std::deque<received_message> loopback_messages;
    peer_table peers;
    rate_lease_manager rate_leases;
    local_rate_share local_rates;
    admission_view admissions;
    service_room_view rooms;
    target_chooser chooser;
    target_state_table targets;
    domain_evacuations evacuations;
    organisation_retry_budget organisation_retries;
    service_retry_budget service_retries;
    quarantine request_quarantine;
    metrics node_metrics;
    cold_tolerance tolerated_cold; ///< How far a cold target's rate may be exceeded.
    /// Describes this node's current state to other nodes.
    std::function<host_report()> make_own_report;
};

} // namespace caraway
