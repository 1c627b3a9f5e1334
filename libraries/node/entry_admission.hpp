/// Decides at the entry node whether a request is let in, from what the services below its route admit and
/// from how earlier requests of the route ended.
#pragma once

#include "node/executor.hpp"
#include "node/node_context.hpp"
#include "policy/goodput_limiter.hpp"

#include <string>
#include <vector>

namespace caraway {

class entry_admission {
public:
    struct report_context {
        std::string service_to_skip; ///< Its reports are not used; empty for none.
        execution* parent{nullptr};  ///< The execution that made the call; null when it is unknown.
    };

    explicit entry_admission(node_context& shared) : context(shared) {}

    bool admits(forward_message const& request, time_point now) const;
    /// Stores the admission fractions that came with the answer to a call.
    void record_reports(forward_message const& request, std::vector<admission_report> const& reports,
                        report_context const& origin, time_point now);
    /// Records the end of a root request; `useful` means answered in time and without a server error.
    void record_outcome(std::string const& route, bool useful, time_point now) {
        this->goodput.record_outcome(route, useful, now);
    }
    void remove_expired(time_point now) { this->goodput.remove_expired(now); }

private:
    node_context& context;
    goodput_limiter goodput;
};

} // namespace caraway
