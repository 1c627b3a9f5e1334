/// Routes requests at the entry node: validation, admission, choice of the executing host, retries, and the
/// reply to the caller.
///
/// Calls that the own target makes on behalf of a request it is serving are routed here as well.
#pragma once

#include "node/entry_admission.hpp"
#include "node/executor.hpp"
#include "node/host_selector.hpp"
#include "node/node_context.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace caraway {

/// A request of a caller, or a call of the own target, that has not been answered yet.
struct pending_call {
    enum class call_stage : std::uint8_t { waiting_for_rate_token, waiting_for_link, in_flight };

    std::uint64_t id{0};
    listener_side side{listener_side::callers};
    std::uint64_t listener_request_id{0};
    call_stage stage{call_stage::waiting_for_rate_token};
    forward_message request;
    std::string service;
    bool idempotent{true};
    bool needs_ticket{false};            ///< Not idempotent, and the route requires a ticket.
    std::optional<ticket> parsed_ticket; ///< `request.ticket`, parsed.
    std::string idempotency_key;         ///< Chosen by the own target for this call; empty for none.
    /// The execution at the own target that makes this call, identified by its context token; 0 for none.
    std::uint64_t parent{0};
    /// The execution that probably makes this call, guessed from its deadline; 0 for none. A wrong guess must
    /// be harmless, so it affects only priority, selection hash, depth, tracing, the measured service time of
    /// the execution, and where reports of downstream services are recorded.
    std::uint64_t inferred_parent{0};
    time_point arrived;
    std::uint64_t arrived_wall_nanoseconds{0};
    time_point waiting_since;
    time_point deadline;
    time_point objective;      ///< An answer after this is worth less to the caller.
    retry_allowance allowance; ///< Not used when `parent` is set: then the parent's is used.
    int sent_allowance{0};     ///< Part of the allowance that was sent with the attempt in flight.
    std::string attempt_host;
    connection_id connection{0};
    std::uint64_t call_id{0};          ///< Of the latest attempt; each attempt has its own.
    time_point sent;                   ///< When the latest attempt was sent.
    bool was_sent{false};              ///< An attempt was sent and may have reached its host.
    bool may_have_run{false};          ///< The outcome of an earlier attempt is not known.
    bool was_refused_for_limit{false}; ///< A target of the service had no room for it within its limit.
    std::vector<std::string> refusing_domains; ///< Failure domains whose hosts refused it as evacuated.
    std::string passed_on_by;  ///< A host that had a longer queue than another; empty for none.
    duration pass_on_above{0}; ///< Wait at the chosen host above which another is better.
    bool caller_disconnected{false};
    bool is_target_retry{false}; ///< The target has already made a call with this idempotency key.
    int resends{0};              ///< Further transmissions of the same ticket.
    std::string parent_span;
    service_room_view::bottleneck limited; ///< The service whose room did not admit the request.
};

class request_router {
public:
    request_router(node_context& shared, executor& own_executor);

    void on_request(listener_request&& request, time_point now);
    /// Answers a request for which no call was created.
    void reject_request(listener_request const& request, result_code code, time_point now);
    void on_disconnect(listener_side side, std::uint64_t listener_request_id, time_point now);
    void on_answer(std::string const& from, answer_message&& answer, time_point now);
    /// Resends, retries or finishes every call that was in flight on the connection.
    void on_connection_lost(connection_id connection, time_point now);
    /// Whether a call that was sent to another host on the connection awaits its answer.
    bool has_call_on(connection_id connection) const;
    /// Cancels a call that its caller, or the request it was made for, no longer needs.
    void cancel_call(std::uint64_t call, time_point now);
    /// Answers every request that is live, because the node stops: as not run where nothing was sent, else
    /// with an unknown outcome.
    void end_all(time_point now);
    void run_periodic_tasks(time_point now);
    /// Removes expired entries; has to be called every few seconds.
    void remove_expired(time_point now) { this->admission.remove_expired(now); }
    /// Dispatches the requests for which rate tokens have arrived, and refuses those that waited too long.
    void process_waiting_requests(time_point now);

    std::size_t call_count() const { return this->calls.size(); }
    /// By organisation.
    std::unordered_map<std::string, std::size_t> count_waiting_for_rate_token() const;

private:
    struct call_error {
        result_code code{result_code::ok};
        double retry_after_ms{0};
    };

    void start_root_call(listener_request&& request, route const& matched, std::string const& organisation,
                         time_point now);
    /// A call of the own target without a context token; `parent` is the execution that probably makes it,
    /// null when that is unknown.
    void start_inferred_call(listener_request&& request, route const& matched, execution* parent,
                             time_point now);
    void start_nested_call(listener_request&& request, route const& matched, execution& parent,
                           time_point now);
    /// Charges a call without a context token to a running request, drawn if `parent` is null.
    void charge_call(forward_message& call, execution const* parent, time_point now);
    pending_call make_call(listener_request&& request, route const& matched, time_point now);
    /// Checks the ticket of a caller's non-idempotent request, or issues one when it has none. Returns false
    /// when the call has been answered.
    bool check_ticket(pending_call& call, std::string const& text, time_point now);
    void issue_ticket(pending_call const& call, result_code code, outcome result, time_point now);
    /// Assigns a ticket to a call of the own target; the same one when the target retries a call under the
    /// same idempotency key.
    void assign_nested_ticket(pending_call& call, time_point now);
    /// Empty when no host can run the call.
    std::optional<ticket> make_ticket(pending_call const& call, time_point now);
    void admit(pending_call&& call, time_point now);
    /// Baseline for experiments (control_mode::per_host): each host enforces an equal fraction of the rate,
    /// independently of the demand at the other hosts.
    /// Refuses a request beyond its organisation's rate; Retry-After names when a pool has refilled a token.
    void refuse_for_rate(pending_call& call, time_point now);
    bool acquire_per_host_token(std::string const& organisation, time_point now);
    void dispatch(pending_call& call, time_point now);
    bool is_under_way_on(pending_call const& call, connection_id connection) const;
    /// Whether the incarnation that the ticket is bound to has ended, or has left the host list and can't be
    /// reached any more.
    bool is_ticket_host_gone(pending_call const& call) const;
    void send_attempt(pending_call& call, std::string const& host, time_point now);
    /// Spends one retry of the call's allowance and of the organisation's and the service's budgets. False
    /// when the answer must not be retried, or a budget is exhausted.
    bool try_acquire_retry(pending_call& call, answer_message const& answer, time_point now);
    /// The allowance that the call's retries are taken from: its parent's, else its own.
    retry_allowance& allowance_of(pending_call& call);
    /// Stores the host report and the admission fractions that came with an answer.
    void record_reports(pending_call const& call, std::string const& from, answer_message const& answer,
                        time_point now);
    void finish_with_error(pending_call& call, call_error error, time_point now);
    /// Updates the goodput of the route that admission of its next requests depends on.
    void record_outcome(pending_call const& call, answer_message const& answer, time_point now);
    /// The names of the evacuated failure domains, separated by commas.
    std::string evacuated_domains() const;
    /// Logs the end of a request that the target did not answer, with the inputs of the decision.
    /// The pools that had no token for the organisation when they were asked last, for the log.
    std::string describe_rate_pools(std::string const& organisation, time_point now) const;
    void log_unanswered(pending_call const& call, answer_message const& answer, time_point now);
    void finish_call(pending_call& call, answer_message&& answer, time_point now);
    listener_answer make_reply(pending_call const& call, answer_message&& answer, time_point now);
    void remove_from_indexes(std::uint64_t id);
    void send_to_listener(listener_side side, listener_answer&& answer);
    void cancel_attempt(pending_call& call, time_point now);
    /// The outcome to report for a call that this node has not sent anywhere.
    static outcome unsent_outcome(pending_call const& call);

    node_context& context;
    entry_admission admission;
    executor& local_executor;
    host_selector selector;
    std::unordered_map<std::uint64_t, pending_call> calls;
    std::unordered_map<std::uint64_t, std::uint64_t> by_call_id;
    std::map<std::pair<listener_side, std::uint64_t>, std::uint64_t> by_listener_request;
    std::unordered_map<std::string, std::deque<std::uint64_t>> waiting_by_organisation; ///< For rate tokens.
    std::unordered_map<std::string, rate_pool> per_host_pools; ///< Used by control_mode::per_host only.
    std::uint64_t next_id{1};
    std::uint64_t next_call_id{1};
};

} // namespace caraway
