/// Accounts at the host beside a target for what its requests cost: slot time at the own target, and the
/// calls that they make. Tells the callees of the work that begins, and computes the room at the own target.
#pragma once

#include "link/message.hpp"
#include "node/node_context.hpp"
#include "policy/answered_fraction.hpp"
#include "policy/call_cost_estimator.hpp"
#include "policy/owed_calls.hpp"
#include "policy/service_room.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace caraway {

class load_accounting {
public:
    explicit load_accounting(node_context& shared) : context(shared) {}

    void record_arrival(forward_message const& request);
    void record_start(std::uint64_t id, forward_message const& request, time_point now);
    /// `slot_time`: how long the request held a slot.
    void record_end(std::uint64_t id, forward_message const& request, duration slot_time, time_point now);
    /// Records whether the target accepted a request that was sent to it.
    void record_answer(bool accepted, time_point now) { this->answered.record(accepted, now); }
    void record_queue(std::size_t waiting) { this->room.record_queue(waiting); }
    /// Records a call of the own target. `parent_route` is empty when the request that made it is not known.
    void record_call(std::string const& callee, std::string const& parent_route, time_point now) {
        this->estimator.record_call(callee, parent_route, now);
    }
    /// The running request that probably made the call; 0 when none runs.
    std::uint64_t draw_parent(std::string const& callee) const;
    /// Adds to a call of the own target what it has to tell its callee of the work that began. `parent`: the
    /// request that made it, or probably made it; null when none is known.
    void charge(forward_message& call, forward_message const* parent);

    /// `limit`: requests that the target may run at once; `pace`: requests per second that it may be sent, 0
    /// for no bound.
    void update_if_due(int limit, double pace, time_point now);

    /// Adds to an answer to a request of the route what its receiver has to know of the services that the
    /// route uses: nothing while all of them have room, or when it has been told lately.
    void describe(answer_message& answer, std::string const& route, std::string const& receiver,
                  time_point now);
    /// Cost of one run of the route at the own target and with all calls below it.
    service_costs costs_of(std::string const& route) const;
    void remove_expired(time_point now);

    service_room const& own_room() const { return this->room; }
    duration mean_slot_time() const { return this->estimator.mean_slot_time(); }

private:
    std::vector<admission_report> room_reports(service_costs const& costs, time_point now) const;

    node_context& context;
    call_cost_estimator estimator;
    service_room room;
    answered_fraction answered;
    owed_calls owed;
    time_point last_limiting{-1e9};                                      ///< Or refusing.
    std::unordered_map<std::string, std::vector<std::uint64_t>> running; ///< Ids of executions, by route.
    struct told_times {
        time_point room;
        time_point costs;
    };
    std::map<std::pair<std::string, std::string>, told_times> told; ///< By route and receiver.
};

} // namespace caraway
