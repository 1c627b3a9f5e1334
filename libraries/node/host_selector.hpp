/// Selects the host that executes a request, from what is known of the hosts of its service and of their
/// targets.
#pragma once

#include "node/executor.hpp"
#include "node/node_context.hpp"

#include <optional>
#include <string>
#include <vector>

namespace caraway {

/// The properties of a request that its host is selected by.
struct selection_request {
    std::string const& service;
    bool idempotent{true};
    bool was_refused_for_limit{false}; ///< A target of the service had no room for it within its limit.
    std::vector<std::string> const& refusing_domains; ///< Their hosts have refused it as evacuated.
    std::string const& passed_on_by;                  ///< The host that passed it on; empty if none did.
};

class host_selector {
public:
    host_selector(node_context& shared, executor const& own_executor)
        : context(shared), local_executor(own_executor) {}

    /// The host to send the request to; empty when no host can run it.
    std::optional<placement> choose(selection_request const& request, time_point now);
    /// Whether a request that is sent now is expected to be answered within this time.
    bool is_answered_within(selection_request const& request, duration left, time_point now) const;
    /// Whether a target of the service accepts another request of this node, by the limits that are known.
    bool has_target_with_room(selection_request const& request, time_point now) const;
    bool has_candidate(selection_request const& request, time_point now) const {
        return !this->candidates_for(request, now).empty();
    }
    /// The host's failure domain; empty when no host list has named the host.
    std::string const& domain_of(std::string const& host) const;
    /// The incarnation of the host's target; 0 when the host list names none.
    target_id target_of(std::string const& host) const;
    /// The instance of the host's target that the host list names; empty when it names none.
    std::string instance_of(std::string const& host) const;

private:
    std::vector<candidate_host> candidates_for(selection_request const& request, time_point now) const;

    node_context& context;
    executor const& local_executor;
};

} // namespace caraway
