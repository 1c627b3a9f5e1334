/// The own target as its only caller sees it: the limit that it states, the pace that this requires, and what
/// it was sent and refused meanwhile.
#pragma once

#include "http/target_statement.hpp"
#include "node/node_context.hpp"
#include "policy/target_rate_limiter.hpp"

#include <string>
#include <unordered_map>

namespace caraway {

class own_target {
public:
    explicit own_target(node_context& shared) : context(shared) {}

    /// Forgets what the target stated when the host list names another incarnation of it.
    void on_listed(target_id listed, time_point now);
    /// Handles the statement of an answer to a request that was meant for `instance`.
    void on_statement(target_statement const& statement, std::string const& instance, time_point now);
    /// Takes over what other nodes know of the target, unless this process has an answer of it already.
    void adopt(target_id target, target_state const& state, time_point now);

    bool may_send(time_point now) const { return this->limiter.may_send(now); }
    bool is_pacing(time_point now) const { return this->limiter.is_pacing(now); }
    /// Requests per second; only meaningful while requests are paced.
    double pace(time_point now) const { return this->limiter.pace(now); }
    /// `ahead`: requests that are sent before.
    duration time_until_token(std::size_t ahead, time_point now) const {
        return this->limiter.time_until_token(ahead, now);
    }
    /// `nested`: the request is a call that another target makes.
    void record_sent(bool nested, time_point now);
    /// Records that a request arrived from the host.
    void record_sender(std::string const& host, time_point now) { this->senders[host] = now; }
    /// Records a refusal because of the limit. Returns when the caller should try again: refused requests are
    /// told different times, as far apart as the limit requires. `queued`: requests that wait for their turn.
    duration record_refusal(std::size_t queued, time_point now);
    void run_periodic_tasks(time_point now);

    /// Requests per second; empty while the target states no limit.
    std::optional<double> rate_limit() const { return this->stated_limit; }
    duration limited_for(time_point now) const { return now - this->limited_since; }
    /// Whether the target has stated that it is leaving, which holds for the whole incarnation.
    bool is_leaving() const { return this->leaving; }
    /// Adds what is known of the target to a report of this node.
    void describe(host_report& report) const;

private:
    struct counts {
        std::uint64_t sent{0};
        std::uint64_t nested{0};
        std::uint64_t refused{0};
    };

    void set_rate_limit(std::optional<double> limit, std::string const& source, time_point now);
    void set_leaving(std::string const& source, time_point now);
    void log_counts(time_point now);

    node_context& context;
    target_rate_limiter limiter;
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
