#include "soak/soak.hpp"

#include "system/support.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <limits>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

namespace caraway::soak {

namespace {

using namespace caraway::tests;
using milliseconds = std::chrono::milliseconds;

/// What callers allow; the promise is an answer by then.
constexpr double timeout_ms = 1500;
/// Beyond the caller's limit: the bound of the users' platform for a late answer.
constexpr double answer_slack_ms = 500;
/// After a process was stopped or killed, what was on its connections may be lost for this long.
constexpr double disturbance_tail_ms = 500;
/// "Within seconds" of the brief, for withdrawn keys and recovery.
constexpr milliseconds settling{5000};
/// The longest drain that the nodes are given; callers go on sending to a node that leaves.
constexpr double drain_ms = 3000;
constexpr double exit_slack_ms = 2000;
/// A start while the platform is away lasts as long as that, and then seconds.
constexpr double ready_limit_ms = 8000;
constexpr double poll_ms = 50;
/// Lines that are kept for each promise.
constexpr int most_lines = 10;
constexpr int final_requests = 100;
constexpr double least_final_part = 0.95;

enum class fault_kind : std::uint8_t {
    kill,
    terminate,
    pause,
    cut_domain,
    silence_domain,
    stall_domain,
    lose_answers,
    platform_away,
    slow_target,
    publish,
    reload,
};
constexpr std::array<char const*, 11> fault_names{
    "kill",         "terminate",     "pause",       "cut_domain", "silence_domain", "stall_domain",
    "lose_answers", "platform_away", "slow_target", "publish",    "reload"};

/// One request as its caller saw it.
struct seen_request {
    std::string id;
    std::size_t entry{0};
    double sent{0};
    double taken{0};
    client_answer answer;
    bool is_idempotent{true};
};

struct disturbance {
    std::size_t node{0};
    double from{0};
    double until{0};
};

class soak_run {
public:
    explicit soak_run(soak_plan const& wanted)
        : plan(wanted), random(wanted.seed),
          system({.configuration = base_configuration(),
                  .hosts = flat_hosts(),
                  .extra_settings = "[limits]\ndrain_ms = " + std::to_string(drain_ms) + "\n"}) {}

    soak_report run() {
        if (!this->system.wait_ready()) {
            this->report.broken.emplace_back("the fleet was not ready within 20 s");
            return this->report;
        }
        this->begin = std::chrono::steady_clock::now();
        std::vector<std::thread> callers;
        for (int number = 0; number < this->plan.callers; ++number) {
            callers.emplace_back([this, number] { this->call_on(static_cast<std::uint64_t>(number)); });
        }
        this->play_faults();
        this->stopping = true;
        for (auto& caller : callers) {
            caller.join();
        }
        this->check_requests();
        this->check_recovery();
        return this->report;
    }

private:
    double now() const {
        return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - this->begin)
            .count();
    }

    void blame(std::string const& promise, std::string const& detail) {
        if (++this->broken_counts[promise] <= most_lines) {
            this->report.broken.push_back(promise + ": " + detail);
        }
    }

    // Callers.

    void call_on(std::uint64_t caller) {
        std::mt19937_64 choice(this->plan.seed * 1000 + caller);
        for (std::uint64_t count = 0; !this->stopping; ++count) {
            auto const entry = choice() % this->system.size();
            auto const id = "s" + std::to_string(caller) + "-" + std::to_string(count);
            if (choice() % 3 == 0) {
                this->run_once(entry, id, choice);
            } else {
                this->ask(entry, id, "GET", with_key());
            }
            std::this_thread::sleep_for(milliseconds(2));
        }
    }

    client_answer ask(std::size_t entry, std::string const& id, std::string const& method,
                      header_map headers) {
        headers["X-Request-Id"] = id;
        headers["X-Request-Timeout-Ms"] = std::to_string(static_cast<int>(timeout_ms));
        auto const sent = this->now();
        auto answer = this->system.call(entry, method, "/front", headers, "",
                                        milliseconds(static_cast<int>(timeout_ms) + 2000));
        std::lock_guard const guard(this->mutex);
        this->requests.push_back({id, entry, sent, this->now() - sent, answer, method == "GET"});
        return answer;
    }

    /// A request that may run once: its ticket goes through several nodes until an answer comes.
    void run_once(std::size_t entry, std::string const& id, std::mt19937_64& choice) {
        auto const first = this->ask(entry, id + "-t", "POST", with_key());
        auto const ticket = first.header("Idempotency-Key");
        for (int copy = 0; copy < 3 && !ticket.empty() && !this->stopping; ++copy) {
            auto const through = choice() % this->system.size();
            auto const answer =
                this->ask(through, id + "-" + std::to_string(copy), "POST", with_ticket(ticket));
            if (answer.outcome() == "ran" || answer.outcome() == "not-run") {
                return;
            }
        }
    }

    // Faults. All are done and undone on this thread, since a node's process ends with the thread that began
    // it.

    void after(double span, std::function<void()> action) {
        this->actions.emplace(this->now() + span, std::move(action));
    }

    /// Does what is due until nothing is left, or until the time.
    void play_until(double end) {
        while (!this->actions.empty() && this->actions.begin()->first < end) {
            auto const due = this->actions.begin()->first;
            std::this_thread::sleep_for(milliseconds(static_cast<int>(std::max(0.0, due - this->now()))));
            auto const action = std::move(this->actions.begin()->second);
            this->actions.erase(this->actions.begin());
            action();
        }
    }

    void play_faults() {
        double at = 0;
        while (at < this->plan.fault_seconds * 1000) {
            auto const count = 1 + this->random() % static_cast<std::uint64_t>(this->plan.overlapping_faults);
            for (std::uint64_t number = 0; number < count; ++number) {
                auto const kind = static_cast<fault_kind>(this->random() % fault_names.size());
                auto const node = this->random() % this->system.size();
                double const span = 300 + static_cast<double>(this->random() % 1200);
                this->actions.emplace(at, [this, kind, node, span] { this->play(kind, node, span); });
            }
            at += 400 + static_cast<double>(this->random() % 1600);
        }
        // What is under way ends within the drain of a process and its start.
        this->play_until(this->plan.fault_seconds * 1000 + 30'000);
        this->system.clear_faults();
    }

    void play(fault_kind kind, std::size_t node, double span) {
        if (this->open_disturbances.contains(node)) {
            return; // Its process is away: the fault would undo the other one's.
        }
        std::ostringstream text;
        text << static_cast<int>(this->now()) << " ms: " << fault_names.at(static_cast<std::size_t>(kind))
             << " node " << node << " for " << span << " ms";
        this->report.faults.push_back(text.str());
        auto const domain = this->system.node(node).host.failure_domain;
        switch (kind) {
        case fault_kind::kill:
            this->begin_disturbance(node);
            this->system.kill(node);
            return this->after(span, [this, node] { this->start(node); });
        case fault_kind::terminate:
            this->begin_disturbance(node);
            this->system.send_signal(node, SIGTERM);
            return this->await_exit(node, span, this->now());
        case fault_kind::pause:
            this->begin_disturbance(node);
            this->system.send_signal(node, SIGSTOP);
            return this->after(span, [this, node] {
                this->system.send_signal(node, SIGCONT);
                this->end_disturbance(node);
            });
        case fault_kind::cut_domain:
            return this->fault_domain(link_fault::cut, domain, span);
        case fault_kind::silence_domain:
            return this->fault_domain(link_fault::silent, domain, span);
        case fault_kind::stall_domain:
            return this->fault_domain(link_fault::stall, domain, span);
        case fault_kind::lose_answers:
            this->system.node(node).proxy->set_drop_responses(true);
            return this->after(span,
                               [this, node] { this->system.node(node).proxy->set_drop_responses(false); });
        case fault_kind::platform_away:
            this->system.platform_proxy(domain).set_fault(link_fault::cut,
                                                          [](std::string const&) { return true; });
            return this->after(span, [this, domain] { this->system.platform_proxy(domain).clear(); });
        case fault_kind::slow_target:
            this->system.node(node).target->set_slowness(20);
            return this->after(span, [this, node] { this->system.node(node).target->set_slowness(1); });
        case fault_kind::publish:
            this->system.publish(base_configuration());
            return;
        case fault_kind::reload:
            return this->system.send_signal(node, SIGHUP);
        }
    }

    /// A later fault of a domain replaces an earlier one, which then ends with it.
    void fault_domain(link_fault fault, std::string const& domain, double span) {
        this->system.set_domain_fault(fault, domain);
        auto const number = ++this->domain_faults;
        this->after(span, [this, number] {
            if (number == this->domain_faults) {
                this->system.clear_faults();
            }
        });
    }

    void begin_disturbance(std::size_t node) {
        std::lock_guard const guard(this->mutex);
        this->open_disturbances[node] = this->disturbed.size();
        this->disturbed.push_back({node, this->now(), std::numeric_limits<double>::infinity()});
    }

    void end_disturbance(std::size_t node) {
        std::lock_guard const guard(this->mutex);
        this->disturbed.at(this->open_disturbances.at(node)).until = this->now() + disturbance_tail_ms;
        this->open_disturbances.erase(node);
    }

    void await_exit(std::size_t node, double span, double told) {
        int code = -1;
        if (!this->system.wait_exit(node, milliseconds(0), code)) {
            if (this->now() - told < drain_ms + exit_slack_ms) {
                return this->after(poll_ms, [=, this] { this->await_exit(node, span, told); });
            }
            this->blame("a process that is told to leave ends by itself", "node " + std::to_string(node));
            this->system.kill(node);
        } else if (code != 0) {
            this->blame("a process that is told to leave ends with 0",
                        "node " + std::to_string(node) + ", code " + std::to_string(code));
        }
        this->after(span, [this, node] { this->start(node); });
    }

    void start(std::size_t node) {
        this->system.start(node);
        this->await_ready(node, this->now());
    }

    void await_ready(std::size_t node, double started) {
        if (this->system.status_field(node, "ready") == "true") {
            return this->end_disturbance(node);
        }
        if (this->now() - started > ready_limit_ms) {
            this->blame("a node that starts is ready within seconds", "node " + std::to_string(node));
            return this->end_disturbance(node);
        }
        this->after(poll_ms, [=, this] { this->await_ready(node, started); });
    }

    // Checks.

    bool was_disturbed(seen_request const& request) const {
        return std::ranges::any_of(this->disturbed, [&](disturbance const& entry) {
            return entry.node == request.entry && request.sent < entry.until &&
                   request.sent + request.taken > entry.from;
        });
    }

    void check_requests() {
        auto const runs = this->system.runs();
        auto const runs_of = [&](std::string const& name) {
            auto const found = runs.find(name);
            return found == runs.end() ? 0 : found->second;
        };
        for (auto const& request : this->requests) {
            ++this->report.asked;
            auto const outcome = request.answer.outcome();
            bool const is_excused = this->was_disturbed(request);
            this->report.served += request.answer.status == 200 ? 1 : 0;
            this->report.refused += outcome == "not-run" || outcome == "not-forwarded" ? 1 : 0;
            if (request.answer.status == 0) {
                ++this->report.unanswered;
                if (!is_excused) {
                    this->blame("every caller is answered", this->describe(request));
                }
                continue;
            }
            if (!is_excused && request.taken > timeout_ms + answer_slack_ms) {
                this->blame("an answer comes by the caller's limit", this->describe(request));
            }
            if (request.is_idempotent && outcome == "not-run" && runs_of(request.id) > 0) {
                this->blame("'not run' is true", this->describe(request));
            }
            if (request.answer.status == 200 && request.answer.body != "front " + request.id &&
                request.is_idempotent) {
                this->blame("each caller gets its own answer", this->describe(request));
            }
        }
        for (auto const& [name, count] : runs) {
            // Runs under a ticket bear its number; idempotent ones their request's id.
            if (count > 1 && !name.starts_with("s")) {
                this->blame("a request with a ticket runs once",
                            name + " ran " + std::to_string(count) + " times");
            }
        }
    }

    std::string describe(seen_request const& request) const {
        std::ostringstream text;
        text << request.id << " at node " << request.entry << ", sent at " << static_cast<int>(request.sent)
             << " ms, took " << static_cast<int>(request.taken) << " ms, status " << request.answer.status
             << ", " << request.answer.outcome() << ", code " << request.answer.code();
        return text.str();
    }

    void check_recovery() {
        auto const last =
            this->system.publish(base_configuration() + "[organisations.late]\nrate = 1\nburst = 1\n");
        if (!wait_configuration_revision(this->system, last, settling)) {
            this->blame("a configuration is in force everywhere within seconds", std::to_string(last));
        }
        std::string missing;
        if (!wait_until([&] { return this->is_whole(missing); }, settling)) {
            this->blame("the fleet is whole again within seconds of its faults", missing);
        }
    }

    /// Whether nearly all requests are served through every node; else `missing` tells what was not.
    bool is_whole(std::string& missing) {
        int served = 0;
        std::map<std::string, int> others;
        for (int number = 0; number < final_requests; ++number) {
            auto const entry = static_cast<std::size_t>(number) % this->system.size();
            auto const answer = this->system.call(entry, "GET", "/front", with_key());
            served += answer.status == 200 ? 1 : 0;
            if (answer.status != 200) {
                ++others["node " + std::to_string(entry) + " code " + std::to_string(answer.code())];
            }
        }
        missing = std::to_string(served) + " of " + std::to_string(final_requests);
        for (auto const& [what, count] : others) {
            missing += ", " + what + ": " + std::to_string(count);
        }
        return served >= final_requests * least_final_part;
    }

    soak_plan plan;
    std::mt19937_64 random;
    fleet system;
    std::chrono::steady_clock::time_point begin;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::multimap<double, std::function<void()>> actions; ///< By time.
    std::map<std::size_t, std::size_t> open_disturbances; ///< Node to its place in `disturbed`.
    std::uint64_t domain_faults{0};
    std::vector<seen_request> requests;
    std::vector<disturbance> disturbed;
    std::map<std::string, int> broken_counts;
    soak_report report;
};

} // namespace

soak_report run_soak(soak_plan const& plan) {
    return soak_run(plan).run();
}

} // namespace caraway::soak
