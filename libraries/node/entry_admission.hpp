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

    /// Why a request is or is not let in.
    struct decision {
        bool admitted{true};
        double fraction{1};                    ///< Of the requests like this one that are let in.
        double offered_weight{1};              ///< Requests that one let in stands for where room is short.
        service_room_view::bottleneck limited; ///< By which service; empty for none.
    };

    /// `service` runs the request itself.
    decision decide(forward_message const& request, std::string const& service, time_point now) const;
    /// When a caller that was refused should come back: spread over the time in which there may be room,
    /// earlier for urgent requests and the more room there is. `left`: the time that the caller still waits.
    static duration return_delay(forward_message const& request, decision const& refused, duration left,
                                 double position);
    /// Stores the costs and the room that came with the answer of a host to a call.
    void record_room(std::string const& from, std::string const& route, answer_message const& answer,
                     time_point now);
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
