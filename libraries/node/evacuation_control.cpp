#include "node/evacuation_control.hpp"

namespace caraway {

void evacuation_control::apply(std::vector<evacuation_change> const& changes, time_point now) {
    for (auto const& change : changes) {
        bool const is_own = change.domain == this->context.options.failure_domain;
        this->context.pending_effects.log(log_level::info,
                                          change.is_evacuated ? "domain_evacuated" : "domain_taken_back",
                                          {{"domain", change.domain},
                                           {"since", std::to_string(change.since)},
                                           {"own", is_own ? "true" : "false"},
                                           {"running", std::to_string(this->local_executor.in_flight())},
                                           {"queued", std::to_string(this->local_executor.queue_length())}});
        this->context.node_metrics.increment_counter(change.is_evacuated ? "evacuations_begun"
                                                                         : "evacuations_ended");
        if (is_own && change.is_evacuated) {
            this->local_executor.refuse_evacuated(now);
        }
        if (is_own && !change.is_evacuated) {
            // Targets may have become cold while they got nothing.
            this->local_executor.target().assume_cold("domain_taken_back", now);
            this->local_executor.target().begin_warm_up("domain_taken_back", now);
        }
        if (!change.is_evacuated) {
            // Its targets have run nothing for a while, so that their load rises like that of new ones.
            for (auto const& host : this->context.peers.hosts_in(change.domain)) {
                this->context.chooser.restart_use(host, now);
            }
        }
    }
}

} // namespace caraway
