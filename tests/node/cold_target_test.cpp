/// The host beside a target that is cold at times, against a simulated target that tells only health checks.
#include "node/own_target.hpp"

#include "support/property.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <stdexcept>
#include <utility>
#include <vector>

using namespace caraway;

namespace {

constexpr double step_ms = 10;
constexpr double service_time_ms = 30;
constexpr double cold_span_ms = 3000;
constexpr double bound_span_ms = 1000;
constexpr double list_delay_ms = 400;
/// A target that has crashed is back after some seconds.
constexpr double min_down_ms = 1000;

configuration_pointer make_configuration(double cold_rate) {
    item_set items;
    items["services"]["front"]["connections"] = {.value = 1000.0};
    items["services"]["front"]["cold_rate"] = {.value = cold_rate};
    items["services"]["front"]["cold_ms"] = {.value = cold_span_ms};
    items["services"]["front"]["health_path"] = {.value = std::string("/health")};
    return attempt_or(
        [&]() -> result<configuration_pointer> { return configuration::create(items, 1); },
        [](problem const& cause) -> configuration_pointer { throw std::logic_error(to_text(cause)); });
}

settings own_settings() {
    settings options;
    options.host = "10.0.0.1";
    options.service = "front";
    return options;
}

/// A target and the host beside it, step by step. What the target gets while it is cold is recorded.
class cold_bench {
public:
    cold_bench(double rate, cold_tolerance const& wanted) : tolerance(wanted) {
        this->in_force = make_configuration(rate);
        this->restart_host();
    }

    void restart_host() {
        this->context = std::make_unique<node_context>(own_settings(), 1, lease_timing{}, this->now);
        this->context->tolerated_cold = this->tolerance;
        this->context->own_target_instance = "i-1";
        this->target = std::make_unique<own_target>(*this->context, this->now);
        this->context->configuration = this->in_force;
        this->target->apply_configuration(this->now);
        this->target->on_listed(this->listed_id(), duration{0}, this->now);
        this->answers_due.clear();
    }

    /// The target starts again under its id; requests meanwhile are refused.
    void restart_target(double down_ms) {
        this->up_at = this->now.milliseconds + down_ms;
        this->become_cold(this->up_at);
        this->cold_from = this->up_at; // Its start can be noticed without the list.
        this->is_dark = false;
        for (auto& due : this->answers_due) {
            due = {this->now.milliseconds,
                   {.id = due.answer.id, .code = result_code::target_crashed, .refuses_connections = true}};
        }
    }

    /// The target's host stays silent until the target has started again under its id: what was sent is lost
    /// then, and connections are accepted again at once.
    void go_dark(double down_ms) {
        this->restart_target(down_ms);
        this->is_dark = true;
        for (auto& due : this->answers_due) {
            due = {this->up_at, {.id = due.answer.id, .code = result_code::target_crashed}};
        }
    }

    /// Cold without a restart, which only the list tells.
    void become_cold_at_work() {
        this->become_cold(this->now.milliseconds);
        this->cold_from = this->now.milliseconds + list_delay_ms + step_ms;
        this->list_due = this->now.milliseconds + list_delay_ms;
    }

    void freeze(double span_ms) { this->now = this->now + duration{span_ms}; }

    /// Emptied for a while; the target gets cold at the end of it.
    void empty(double span_ms) {
        this->now = this->now + duration{span_ms};
        this->become_cold(this->now.milliseconds - 1);
        this->target->note_time(this->now);
        this->target->assume_cold("domain_taken_back", this->now);
    }

    /// `demand`: requests that arrive in each step.
    void run(double span_ms, int demand) {
        for (double const end = this->now.milliseconds + span_ms; this->now.milliseconds < end;
             this->now = this->now + duration{step_ms}) {
            this->step(demand);
        }
    }

    double most_in_a_cold_second() const {
        std::size_t most = 0;
        for (auto first = this->cold_arrivals.begin(); first != this->cold_arrivals.end(); ++first) {
            auto const end = std::upper_bound(first, this->cold_arrivals.end(), *first + bound_span_ms);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return static_cast<double>(most);
    }

    time_point now{10'000};
    std::size_t arrivals{0};
    std::size_t checks{0};
    std::unique_ptr<own_target> target;

private:
    struct answer_due {
        double at{0};
        target_answer answer;
    };

    target_id listed_id() const { return make_target_id("10.0.0.1", "i-1", 0); }

    void become_cold(double at) {
        this->cold_from = at;
        this->cold_until = at + cold_span_ms;
    }

    void step(int demand) {
        double const at = this->now.milliseconds;
        this->target->note_time(this->now);
        if (this->list_due > 0 && at >= this->list_due) {
            this->list_due = 0;
            // A list that tells of another cold time differs from the one before.
            double const listed = this->cold_until - at + list_delay_ms + (++this->lists % 2);
            this->target->on_listed(this->listed_id(), duration{listed}, this->now);
        }
        while (!this->answers_due.empty() && this->answers_due.front().at <= at) {
            auto const due = this->answers_due.front();
            this->answers_due.pop_front();
            if (!this->target->on_check_answer(due.answer, this->now)) {
                this->target->on_request_ended(due.answer, this->now);
            }
        }
        for (int count = 0; count < demand; ++count) {
            this->target->note_demand(this->now);
            if (this->target->may_send(this->now)) {
                this->target->record_sent(false, this->now);
                this->deliver({.id = 1, .result = outcome::ran, .statement = target_statement{}});
            }
        }
        this->target->run_periodic_tasks(this->now);
        this->target->check_if_due(this->now);
        for (auto const& check : std::exchange(this->context->pending_effects.target_requests, {})) {
            ++this->checks;
            this->deliver({.id = check.id,
                           .result = outcome::ran,
                           .statement = target_statement{.cold_ms = std::max(0.0, this->cold_until - at)}});
        }
    }

    void deliver(target_answer answer) {
        double const at = this->now.milliseconds;
        if (at < this->up_at && this->is_dark) {
            return this->answers_due.push_back(
                {this->up_at, {.id = answer.id, .code = result_code::target_crashed}});
        }
        if (at < this->up_at) {
            answer = {.id = answer.id, .result = outcome::not_run, .code = result_code::target_unreachable};
            return this->answers_due.push_front({at, answer});
        }
        ++this->arrivals;
        if (at >= this->cold_from && at < this->cold_until) {
            this->cold_arrivals.push_back(at);
        }
        this->answers_due.push_back({at + service_time_ms, std::move(answer)});
    }

    cold_tolerance tolerance;
    configuration_pointer in_force;
    std::unique_ptr<node_context> context;
    std::deque<answer_due> answers_due;
    double up_at{0};
    bool is_dark{false}; ///< While the target is down, nothing is answered.
    double cold_from{0};
    double cold_until{0};
    double list_due{0};
    int lists{0};
    std::vector<double> cold_arrivals;
};

} // namespace

// Restarts of the target or of the host beside it, a target that is cold again at work, a host that stood
// still, and a failure domain that was emptied: with the registry away the target alone can say what holds.
TEST_CASE("a cold target gets no more than its bound in any second through restarts and pauses") {
    tests::check_property("cold target", [] {
        double const rate = *rc::gen::inRange(1, 1000);
        cold_tolerance const tolerance{.factor = *rc::gen::inRange(10, 25) / 10.0,
                                       .slack = *rc::gen::inRange(0, 30) * 1.0};
        auto const moves = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 7));
        auto const demands = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 20));
        auto const spans = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(100, 4000));
        cold_bench bench(rate, tolerance);
        for (std::size_t index = 0; index < moves.size(); ++index) {
            double const span = spans[index];
            switch (moves[index]) {
            case 0:
                bench.restart_target(min_down_ms + span);
                break;
            case 1:
                bench.become_cold_at_work();
                break;
            case 2:
                bench.restart_host();
                break;
            case 3:
                bench.freeze(span);
                break;
            case 4:
                bench.empty(span);
                break;
            case 5:
                bench.go_dark(min_down_ms + span);
                break;
            default:
                break;
            }
            bench.run(span, demands[index]);
        }
        RC_ASSERT(bench.most_in_a_cold_second() <= rate * tolerance.factor + tolerance.slack);
    });
}

// What is not known counts as cold only until the target has been asked.
TEST_CASE("a warm target gets all requests again within half a second after a restart of its host") {
    cold_bench bench(12, {.factor = 1.5, .slack = 8});
    bench.run(2000, 1);
    bench.restart_host();
    bench.run(500, 1);
    auto const before = bench.arrivals;
    bench.run(1000, 1);
    CHECK(bench.arrivals - before >= 100);
    CHECK_FALSE(bench.target->is_pacing(bench.now));
    CHECK(bench.checks <= 2);
}

TEST_CASE("a target that has started again gets its share within two seconds of being warm") {
    cold_bench bench(12, {.factor = 1.5, .slack = 8});
    bench.run(2000, 1);
    bench.restart_target(1500);
    bench.run(1500 + cold_span_ms + 2000, 1);
    auto const before = bench.arrivals;
    bench.run(1000, 1);
    CHECK(bench.arrivals - before >= 100);
}

// Nobody was refused a connection: what was under way is lost, and the next connection is accepted.
TEST_CASE("a target that loses all that is under way at once is taken as started again") {
    cold_bench bench(12, {.factor = 1.5, .slack = 8});
    bench.run(4000, 1);
    bench.go_dark(0);
    bench.run(cold_span_ms, 1);
    CHECK(bench.most_in_a_cold_second() <= 26);
    CHECK(bench.most_in_a_cold_second() > 10);
    bench.run(2000, 1);
    auto const before = bench.arrivals;
    bench.run(1000, 1);
    CHECK(bench.arrivals - before >= 100);
}

// Its host is up, but nothing answers and no connection is refused.
TEST_CASE("a target that does not answer for a second is taken as one that may have started again") {
    cold_bench bench(12, {.factor = 1.5, .slack = 8});
    bench.run(4000, 1);
    bench.go_dark(2500);
    bench.run(2500 + cold_span_ms, 1);
    CHECK(bench.most_in_a_cold_second() <= 26);
    CHECK(bench.most_in_a_cold_second() > 10);
}

// The bound leaves no room for a single request, so that nothing could show that the target is back.
TEST_CASE(
    "a target that accepts less than one request per second while cold is used again after its cold time") {
    for (double const rate : {0.1, 0.4, 0.9}) {
        CAPTURE(rate);
        cold_bench bench(rate, {});
        bench.run(cold_span_ms + 2000, 1);
        bench.restart_target(1500);
        bench.run(1500 + 2 * cold_span_ms + 2000, 1);
        auto const before = bench.arrivals;
        bench.run(1000, 1);
        CHECK(bench.arrivals - before >= 100);
    }
}

// Health checks take a slot of the target.
TEST_CASE("a target with few requests, and one that is busy without pause, is not asked for its state") {
    cold_bench calm(12, {.factor = 1.5, .slack = 8});
    calm.run(2000, 0);
    for (int second = 0; second < 20; ++second) {
        calm.run(step_ms, 1);
        calm.run(1500, 0);
    }
    CHECK(calm.checks == 0);
    CHECK(calm.arrivals == 20);
    cold_bench busy(12, {.factor = 1.5, .slack = 8});
    busy.run(2000, 0);
    busy.run(20'000, 1);
    CHECK(busy.checks == 1);
}
