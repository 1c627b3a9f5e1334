/// What the own target states about itself, and what this node, its only caller, has sent it meanwhile.
#pragma once

#include "http/target_statement.hpp"
#include "node/node_context.hpp"

namespace caraway {

class own_target {
public:
    explicit own_target(node_context& shared) : context(shared) {}

    void on_statement(target_statement const& statement, time_point now);
    /// `nested`: the request is a call that another target makes.
    void record_sent(bool nested);
    /// Logs once a second, while the target states a limit, what was sent to it.
    void run_periodic_tasks(time_point now);

    /// Requests per second; empty while the target states no limit.
    std::optional<double> rate_limit() const { return this->stated_limit; }
    bool is_leaving() const { return this->leaving; }

private:
    struct send_counts {
        std::uint64_t all{0};
        std::uint64_t nested{0};
    };

    void set_rate_limit(std::optional<double> limit);
    void log_sent(time_point now);

    node_context& context;
    std::optional<double> stated_limit;
    bool leaving{false};
    send_counts sent; ///< Since `logged_at`.
    time_point logged_at;
};

} // namespace caraway
