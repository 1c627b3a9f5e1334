/// Runs requests at the executing host: admission to the own target, at-most-once execution under tickets,
/// and the answers to the entry nodes.
#pragma once

#include "node/load_accounting.hpp"
#include "node/node_context.hpp"
#include "node/own_target.hpp"
#include "policy/admission_controller.hpp"
#include "policy/concurrency_limiter.hpp"
#include "policy/target_load_estimate.hpp"
#include "policy/ticket_store.hpp"
#include "policy/work_queue.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace caraway {

/// An answer that is stored in case its ticket is sent again.
struct stored_answer {
    answer_message content;
    std::size_t size() const { return this->content.body.size() + 256; }
};

/// A request at the executing host, queued for the own target or running there.
struct execution {
    enum class state : std::uint8_t { queued, running };
    struct reply_address {
        std::string host;
        connection_id connection{0};
        std::uint64_t call_id{0};
    };

    std::uint64_t id{0};
    state stage{state::queued};
    forward_message request;
    /// More than one when copies of a ticket wait for the same run, none when all have left.
    std::vector<reply_address> waiters;
    std::string context_token; ///< The target sends it with the calls it makes for this request.
    std::optional<ticket> parsed_ticket;
    time_point arrived;
    time_point deadline;
    time_point started;
    std::uint64_t started_wall_nanoseconds{0};
    retry_allowance allowance;
    std::map<std::string, admission_fractions> admissions; ///< Of downstream services.
    std::set<std::uint64_t> child_calls; ///< Calls in `request_router` that the target made for this request.
    std::map<std::string, std::string> tickets_by_key; ///< By idempotency key of the target's call.
    int active_nested_calls{0};
    time_point nested_calls_since;
    duration nested_call_time{0}; ///< Time during which at least one nested call was active.
    std::uint64_t fingerprint{0};
    bool is_suspect{false}; ///< May have crashed a target; runs only while no other suspect does.
    std::string span_id;

    /// Whether it may run a second time: its route is idempotent and it carries no ticket.
    bool is_idempotent() const { return this->request.idempotent && this->request.ticket.empty(); }
};

class executor {
public:
    executor(node_context& shared, time_point started);

    void receive(std::string const& from, connection_id connection, forward_message&& request,
                 arrival const& arrived, time_point now);
    /// Refuses a request without looking at its ticket.
    void refuse_unstarted(std::string const& from, connection_id connection, forward_message&& request,
                          result_code code, time_point now);
    /// The caller of one attempt has left; work for which nobody waits any more is stopped.
    void cancel(std::string const& from, std::uint64_t call_id, time_point now);
    /// Nobody waits at the other end of the connection any more; its host has given up what it sent on it.
    void on_connection_lost(connection_id connection, time_point now);
    /// Whether a request that arrived on the connection awaits its answer.
    bool has_waiter_on(connection_id connection) const;
    void on_target_answer(target_answer&& answer, time_point now);
    void run_periodic_tasks(time_point now);

    /// The running request with this context token; null when there is none.
    execution* find_by_token(std::string const& token);
    execution* find(std::uint64_t id);
    /// The running request whose deadline is closest to that of a call; null when none is close enough. This
    /// is a guess: two requests may have the same deadline.
    execution* find_by_deadline(time_point call_deadline);
    /// Whether the deadline of some running request is later than this instant.
    bool has_execution_past(time_point instant) const;

    /// Excludes the time until the call ends from the target's own time, since the target waits for the call.
    void note_call_started(execution& parent, time_point now);
    void note_call_ended(execution& parent, time_point now);
    /// Like `note_call_started` and `note_call_ended`; also registers a call, which certainly belongs to the
    /// request, to be cancelled when the request ends.
    void add_child_call(execution& parent, std::uint64_t call, time_point now);
    void remove_child_call(execution& parent, std::uint64_t call, time_point now);

    /// Moves out the calls whose parent request has ended or was cancelled.
    std::vector<std::uint64_t> take_orphaned_calls();

    /// Refuses queued root requests; called once when the node starts draining.
    void start_draining(time_point now);
    /// Tells whoever waits that this node stops: as not run what waits for the own target, else with an
    /// unknown outcome.
    void end_all(time_point now);
    /// Whether the own target accepts no new work, by the host list or by its own statement.
    bool target_is_leaving() const {
        return this->context.target_is_leaving || this->local_target.is_leaving();
    }

    /// Refuses all queued work because the own failure domain has been evacuated.
    void refuse_evacuated(time_point now) { this->refuse_queued(result_code::domain_evacuated, now); }

    void apply_configuration();
    /// Sets how many requests the own target runs at once according to the host list; 0 when it does not say.
    void set_listed_slots(int count);
    own_target& target() { return this->local_target; }
    load_accounting& accounting() { return this->load; }
    load_accounting const& accounting() const { return this->load; }

    std::uint64_t ticket_window(time_point now) { return this->tickets.current_window(now); }
    std::size_t in_flight() const { return this->running; }
    std::size_t queue_length() const { return this->queue.size(); }
    std::size_t execution_count() const { return this->executions.size(); }
    std::size_t stored_ticket_count() const { return this->tickets.size(); }
    int concurrency_limit() const;
    /// The limit for reports to other nodes.
    int reported_limit() const;
    /// Adds how long requests take and wait at the own target to a report of this node.
    void describe_load(host_report& report, time_point now) const;
    own_target const& target() const { return this->local_target; }
    admission_controller const& admission() const { return this->controller; }

private:
    /// False when the request has been answered or waits for the run of another copy.
    bool claim_ticket(execution& work, time_point now);
    void admit(execution&& work, time_point now);
    /// Whether too little of the request's time is left to start it.
    static bool is_too_late(execution const& work, time_point now);
    /// Sends the request to the target, or refuses it when it is too late.
    void start(execution& work, time_point now);
    void start_queued(time_point now);
    /// Fits the queue to the slots of the target and to the pace at which it accepts requests.
    void update_queue_capacity(time_point now);
    /// Refuses all queued work, which another host may still run.
    void refuse_queued(result_code code, time_point now);
    /// Refuses queued work that would wait longer than its sender expects it to wait elsewhere.
    void pass_on_waiting(time_point now);
    own_load load_at_target() const;
    /// Why a request that found no place in the queue, or waited there for too long, is refused.
    result_code queue_refusal(result_code without_limit, time_point now) const;
    /// Ends a stored execution without running it.
    void refuse(std::uint64_t id, result_code code, time_point now);
    /// Refuses a request before it is stored as an execution.
    void refuse_new(execution& work, result_code code, outcome result, time_point now);
    void finish(execution& work, answer_message answer, time_point now);
    void send_answer(execution const& work, answer_message answer, time_point now);
    void record_load(target_answer const& answer, duration own_time, duration held_time, time_point deadline,
                     time_point now);
    /// Lets the learnt pace of the target judge an answer.
    void record_pace(execution const& work, target_answer const& answer, duration own_time, time_point now);
    /// When the learning has ended below the slots, the limiter goes on from there.
    void follow_warm_up(bool was_learning);
    int limit_without_warm_up() const;
    void record_target_crash(std::uint64_t crashed_request, time_point now);
    void remove_waiter(execution& work, execution::reply_address const& waiter);
    /// Refuses queued work. The target client ends what it has not written, and the run of what may be
    /// repeated; it lets any other run go on, since nobody could tell whether it had run.
    void stop(execution& work, time_point now);
    void orphan_child_calls(execution& work);
    span make_span(execution const& work, answer_message const& answer) const;
    std::vector<admission_report> admission_reports(execution const& work) const;
    double weight_of(std::string const& organisation) const;
    /// Whether a request that is queued now would reach its age limit before the target accepts it.
    bool would_expire_in_queue(queued_work const& work, time_point now) const;
    void start_next_suspect(time_point now);

    node_context& context;
    own_target local_target;
    concurrency_limiter limiter;
    admission_controller controller;
    target_load_estimate load_estimate;
    target_id estimated_target{0};
    load_accounting load;
    work_queue queue;
    ticket_store<stored_answer> tickets;
    std::unordered_map<std::uint64_t, execution> executions;
    std::unordered_map<std::string, std::uint64_t> by_token;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> by_call;
    std::vector<std::uint64_t> orphaned_calls;
    std::uint64_t next_id{1};
    std::size_t running{0};
    std::uint64_t running_suspect{0};           ///< 0 when none runs.
    std::deque<std::uint64_t> waiting_suspects; ///< Only one suspect runs at a time.
    time_point last_suspect_crash;
    time_point crash_noticed;                 ///< The first answer that the latest crash lost.
    std::set<std::uint64_t> blamed_for_crash; ///< Fingerprints.
    int slots{1};
    int listed_slots{0};
};

} // namespace caraway
