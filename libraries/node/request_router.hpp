/// The first node's side: checks, admission, choice of the executing host, retries, and the answer to the
/// caller.
///
/// Calls of the own target come through here as well, on behalf of the request that it is serving.
#pragma once

#include "node/executor.hpp"
#include "node/node_context.hpp"
#include "policy/goodput_guard.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace caraway {

/// A request of a caller, or of the own target, until it is answered.
struct pending_call {
    enum class state : std::uint8_t { waiting_for_rate_token, waiting_for_link, in_flight };

    std::uint64_t id{0};
    door_side side{door_side::callers};
    std::uint64_t listener_request_id{0};
    state stage{state::waiting_for_rate_token};
    forward_message request;
    std::string service;
    bool idempotent{true};
    bool needs_ticket{false}; ///< Not idempotent, and run under a ticket only.
    std::optional<ticket> parsed_ticket;
    std::string idempotency_key; ///< The target's own key for this call.
    std::uint64_t parent{
        0}; ///< The request of the own target that makes this call, as its token shows; 0 for none.
    /// The request that seems to make this call, by its deadline; 0 for none. Good for what only costs work
    /// when it is wrong: rank, and what is learnt of the services below.
    std::uint64_t inferred_parent{0};
    time_point arrived;
    std::uint64_t arrived_wall_nanoseconds{0};
    time_point waiting_since;
    time_point deadline;
    retry_allowance allowance; ///< Of a root call; a call of the own target draws on its parent's.
    int sent_allowance{0};     ///< Allowance that went out with the attempt under way.
    std::string host;
    connection_id connection{0};
    std::uint64_t call_id{0};
    time_point sent;
    bool was_sent{false}; ///< Some attempt may have reached its host.
    bool caller_disconnected{false};
    bool is_target_retry{false}; ///< The target named this call before.
    int resends{0};
    std::string parent_span;
};

class request_router {
public:
    request_router(node_context& shared, executor& own_executor);

    void on_request(door_request&& request, time_point now);
    void on_disconnect(door_side side, std::uint64_t listener_request_id, time_point now);
    void on_answer(std::string const& from, answer_message&& answer, time_point now);
    /// What was in flight on the connection has to find another way or an honest end.
    void on_connection_lost(connection_id connection, time_point now);
    /// Ends calls whose parent no longer needs them.
    void cancel_call(std::uint64_t call, time_point now);
    void run_periodic_tasks(time_point now);
    /// Forgets what is over; needed every few seconds.
    void remove_expired(time_point now) { this->goodput.forget_old(now); }
    /// Lets waiting requests go on for which tokens have come.
    void process_waiting_requests(time_point now);

    std::size_t call_count() const { return this->calls.size(); }
    std::unordered_map<std::string, std::size_t> count_waiting_for_rate_token() const;

private:
    struct call_error {
        result_code code{result_code::ok};
        double retry_after_ms{0};
    };

    void start_root_call(door_request&& request, route const& matched, std::string const& organisation,
                         time_point now);
    /// A call of the own target without a token; `parent` is who seems to make it, null when that is unknown.
    void start_inferred_call(door_request&& request, route const& matched, execution* parent, time_point now);
    void start_nested_call(door_request&& request, route const& matched, execution& parent, time_point now);
    pending_call make_call(door_request&& request, route const& matched, time_point now);
    /// Checks the ticket of a caller's non-idempotent request, or hands one out. False when the call is
    /// answered.
    bool check_ticket(pending_call& call, std::string const& text, time_point now);
    void issue_ticket(pending_call const& call, result_code code, outcome result, time_point now);
    /// Gives a call of the own target its ticket; the same one when the target repeats a call it named.
    void assign_nested_ticket(pending_call& call, time_point now);
    std::optional<ticket> make_ticket(pending_call const& call, time_point now);
    void admit(pending_call&& call, time_point now);
    /// The baseline of experiments: every host allows its even part of the rate, whatever the others see.
    bool acquire_per_host_token(std::string const& organisation, time_point now);
    void dispatch(pending_call& call, time_point now);
    std::optional<std::string> choose_host(pending_call const& call, time_point now);
    /// The start of the host's target that the list names; empty when it names none.
    std::string instance_of(std::string const& host) const;
    bool is_ticket_host_gone(pending_call const& call) const;
    void send_attempt(pending_call& call, std::string const& host, time_point now);
    bool try_acquire_retry(pending_call& call, answer_message const& answer);
    retry_allowance& allowance_of(pending_call& call);
    void record_reports(pending_call const& call, std::string const& from, answer_message const& answer,
                        time_point now);
    void reject_request(door_request const& request, result_code code, time_point now);
    void finish_with_error(pending_call& call, call_error error, time_point now);
    /// Keeps how a caller's request ended for the next ones of its route.
    void record_outcome(pending_call const& call, answer_message const& answer, time_point now);
    /// Tells how a request ended that the target did not answer, with the inputs of the decision.
    void log_unanswered(pending_call const& call, answer_message const& answer, time_point now);
    void finish_call(pending_call& call, answer_message&& answer, time_point now);
    door_answer make_reply(pending_call const& call, answer_message&& answer, time_point now);
    void remove_from_indexes(std::uint64_t id);
    void send_to_listener(door_side side, door_answer&& answer);
    void cancel_attempt(pending_call& call, time_point now);
    /// What may be said of a call of which this node has passed nothing on.
    static outcome unsent_outcome(pending_call const& call);

    node_context& context;
    goodput_guard goodput;
    executor& local_executor;
    std::unordered_map<std::uint64_t, pending_call> calls;
    std::unordered_map<std::uint64_t, std::uint64_t> by_call_id;
    std::map<std::pair<door_side, std::uint64_t>, std::uint64_t> by_listener_request;
    std::unordered_map<std::string, std::deque<std::uint64_t>> waiting_by_organisation; ///< By organisation.
    std::unordered_map<std::string, rate_pool> per_host_pools; ///< Of the baseline only.
    std::uint64_t next_id{1};
    std::uint64_t next_call_id{1};
};

} // namespace caraway
