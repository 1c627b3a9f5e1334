/// The own target as its only caller sees it: the limit that it states, whether it is cold, the pace that
/// this requires, and what it was sent and refused meanwhile.
#pragma once

#include "http/target_statement.hpp"
#include "node/node_context.hpp"
#include "policy/cold_state.hpp"
#include "policy/target_pace.hpp"

#include <string>
#include <string_view>
#include <unordered_map>

namespace caraway {

/// How a request ended at the host beside the target.
struct request_end {
    bool is_answered{false}; ///< By the target, without an error.
    bool is_late{false};     ///< Answered after the latency objective of its route.
    bool has_run{false};
};

class own_target {
public:
    own_target(node_context& shared, time_point started) : context(shared), pacer(started) {}

    /// Takes over what the configuration says of cold targets of the service.
    void apply_configuration(time_point now);
    /// Forgets what the target stated when the host list names another incarnation of it. `cold_for`: how
    /// much longer it was cold when its entry was written. `running_for`: since when the incarnation runs;
    /// empty if that is unknown.
    void on_listed(target_id listed, duration cold_for, time_point now,
                   std::optional<duration> running_for = std::nullopt);
    /// Handles the statement of an answer to a request that was meant for `instance` and was sent at `sent`.
    void on_statement(target_statement const& statement, std::string const& instance, time_point sent,
                      time_point now);
    /// Records that a request which was sent to the target has ended; `code` says how.
    void on_request_ended(target_answer const& answer, time_point now);
    /// Learns from an answer how many requests the target bears. `has_failed`: an error, or no answer.
    void record_answer(paced_answer answer, bool has_failed, time_point now);
    /// The target has started or recovered: what it bears is learnt from now on, where the settings say so.
    void begin_warm_up(std::string_view reason, time_point now);
    void set_slots(int count) { this->pacer.learned.set_slots(count); }
    /// True when the answer is that of a health check of this class.
    bool on_check_answer(target_answer const& answer, time_point now);
    /// Takes over what other nodes know of the target, unless this process has an answer of it already.
    void adopt(target_id target, target_state const& state, time_point now);

    /// The target may have become cold unnoticed: it is taken as cold until it has said that it is not, or
    /// for the service's whole cold time. `reason` is for the operators' log.
    void assume_cold(std::string_view reason, time_point now);
    /// Called before anything else when the node handles an event: notices that the process stood still.
    void note_time(time_point now);
    /// Called when a request arrives, before `may_send`: notices that the target was not heard of for long.
    void note_demand(time_point now);

    /// Sends a health check when the target should be asked and its pace allows it. To be called before
    /// queued requests are sent, which would use up the pace.
    void check_if_due(time_point now);

    learned_pace const& learned() const { return this->pacer.learned; }
    bool may_send(time_point now) const { return this->pacer.may_send(now); }
    bool is_pacing(time_point now) const { return this->pacer.is_pacing(now); }
    /// Requests per second; only meaningful while requests are paced.
    double pace(time_point now) const { return this->pacer.pace(now); }
    /// Why a request is refused that the pace leaves no room for.
    result_code pace_refusal(time_point now) const;
    pace_reason binding_reason(time_point now) const { return this->pacer.binding_reason(now); }
    /// `ahead`: requests that are sent before.
    duration time_until_token(std::size_t ahead, time_point now) const {
        return this->pacer.time_until_token(ahead, now);
    }
    /// `nested`: the request is a call that another target makes.
    void record_sent(bool nested, time_point now);
    /// Records how a request ended at this host, for the operators' log.
    void record_end(request_end const& end);
    /// Records that a request arrived from the host.
    void record_sender(std::string const& host, time_point now) { this->senders[host] = now; }
    /// Records a refusal because of the pace. Returns when the caller should try again: refused requests are
    /// told different times, as far apart as the pace requires. `queued`: requests that wait for their turn.
    duration record_refusal(std::size_t queued, time_point now);
    void run_periodic_tasks(time_point now);

    /// Requests per second; empty while the target states no limit.
    std::optional<double> rate_limit() const { return this->stated_limit; }
    duration limited_for(time_point now) const { return now - this->limited_since; }
    /// How much longer the target is taken as cold; 0 while it is not.
    duration cold_for(time_point now) const;
    /// Why the target is taken as cold, or was so last.
    std::string const& cold_reason() const { return this->cold_cause; }
    /// Whether the target has stated that it is leaving, which holds for the whole incarnation.
    bool is_leaving() const { return this->leaving; }
    /// Adds what is known of the target to a report of this node.
    void describe(host_report& report, time_point now) const;

private:
    struct counts {
        std::uint64_t sent{0};
        std::uint64_t nested{0};
        std::uint64_t refused{0};
        std::uint64_t answered{0};
        std::uint64_t late{0};
        std::uint64_t failed{0};
        std::uint64_t not_run{0};
    };

    void set_rate_limit(std::optional<double> limit, std::string const& source, time_point now);
    void set_leaving(std::string const& source, time_point now);
    void log_counts(time_point now);
    void note_unreachable(time_point now);
    /// A target that was not heard of for longer may have started again meanwhile.
    duration longest_silence(time_point now) const;
    void update_warm_up(time_point now);
    void log_warm_up_end(time_point now);
    /// The median of the times that hosts of the service report for a request; 0 if none does.
    duration peers_request_time(time_point now) const;
    /// `update_cold` with the reason that is logged if the target is cold from now on.
    void set_cold_cause(std::string_view reason, time_point now);
    /// Fits the pace to what is known of the target now, and logs a change.
    void update_cold(time_point now);
    node_context& context;
    target_pace pacer;
    cold_state coldness;
    bool is_cold{false};
    std::string cold_cause;
    time_point last_answer;
    time_point cold_since;
    std::string health_path;
    std::uint64_t check_id{0};  ///< Of the health check under way; 0 for none.
    std::string check_instance; ///< The instance that it asks.
    time_point check_sent;
    std::uint64_t checks_sent{0};
    std::size_t outstanding{0}; ///< Requests at the target.
    int losses{0};              ///< Answers lost since the last one that was read.
    /// When the target last answered, or last got a request while it had none.
    time_point last_contact;
    time_point last_event;
    time_point last_demand;   ///< When a request for the target last arrived.
    target_id incarnation{0}; ///< The last one that the host list named.
    bool is_known{false};     ///< The target has answered, or other nodes have said what it states.
    std::optional<double> stated_limit;
    time_point limited_since;
    bool leaving{false};
    time_point leaving_since;
    std::unordered_map<std::string, time_point> senders;
    time_point next_return; ///< The latest time at which a refused caller was told to try again.
    counts since_log;
    time_point logged_at;
};

} // namespace caraway
