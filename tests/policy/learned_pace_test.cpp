/// What a target that has started or recovered is sent, against simulated targets.
#include "policy/learned_pace.hpp"
#include "policy/target_pace.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <vector>

using namespace caraway;

namespace {

struct simulated_target {
    int slots{64};
    double work_ms{100};
    double slow_factor{1}; ///< On the time of all work.
    int borne{1000};       ///< More requests at once take longer in proportion.
    int refused_above{1000};
};

struct served {
    int requests{0};
    int refused{0};
    int late{0}; ///< Waited at the host for more than `late_ms`.
    int most_at_once{0};
};

constexpr double late_ms = 150;

/// Requests arrive evenly at a host, which sends them to its target within the window.
class warm_up_bench {
public:
    explicit warm_up_bench(simulated_target const& wanted) : target(wanted) {
        this->pace.set_slots(wanted.slots);
        this->pace.set_peer_time({wanted.work_ms});
    }

    served run(double span_ms, double per_s) {
        served result;
        double credit = 0;
        for (double const end = this->now + span_ms; this->now < end; this->now += 1) {
            for (credit += per_s / 1000; credit >= 1; credit -= 1) {
                this->waiting.push_back(this->now);
            }
            this->take_answers(result);
            this->pace.update(this->is_cold, {this->now});
            while (!this->waiting.empty() &&
                   this->at_target.size() < static_cast<std::size_t>(this->pace.window())) {
                this->send(result);
            }
            result.most_at_once = std::max(result.most_at_once, static_cast<int>(this->at_target.size()));
        }
        return result;
    }

    simulated_target target;
    learned_pace pace;
    bool is_cold{false};
    double now{1000};
    std::deque<double> waiting;

private:
    struct sent_request {
        double sent{0};
        double answered{0};
        bool is_refused{false};
    };

    void send(served& result) {
        result.late += this->now - this->waiting.front() > late_ms ? 1 : 0;
        this->waiting.pop_front();
        auto const present = static_cast<int>(this->at_target.size()) + 1;
        double const congestion = std::max(1.0, static_cast<double>(present) / this->target.borne);
        bool const is_refused = present > this->target.refused_above;
        double const time_ms = is_refused ? 5 : this->target.work_ms * this->target.slow_factor * congestion;
        this->at_target.push_back({this->now, this->now + time_ms, is_refused});
    }

    void take_answers(served& result) {
        std::vector<sent_request> due;
        std::erase_if(this->at_target, [&](sent_request const& request) {
            bool const is_due = request.answered <= this->now;
            if (is_due) {
                due.push_back(request);
            }
            return is_due;
        });
        for (auto const& request : due) {
            ++(request.is_refused ? result.refused : result.requests);
            duration const taken{this->now - request.sent};
            this->pace.record_answer({.kind = 1,
                                      .sent = {request.sent},
                                      .own_time = taken,
                                      .held_time = taken,
                                      .is_refused = request.is_refused,
                                      .is_cold = this->is_cold,
                                      .others_wait = !this->waiting.empty()},
                                     {this->now});
        }
    }

    std::vector<sent_request> at_target;
};

} // namespace

TEST_CASE("a joiner that bears its load has its share within two seconds") {
    for (double const work_ms : {15.0, 100.0, 370.0}) {
        simulated_target const target{.work_ms = work_ms};
        warm_up_bench bench(target);
        double const per_s = 0.6 * target.slots / work_ms * 1000;
        bench.pace.begin({bench.now});
        auto const first = bench.run(work_ms, per_s);
        CHECK(first.most_at_once >= 1);
        CHECK(first.most_at_once <= target.slots / 8);
        bench.run(2000 - work_ms, per_s);
        auto const steady = bench.run(1000, per_s);
        CHECK(steady.requests >= 0.9 * per_s);
        CHECK_FALSE(bench.pace.is_learning());
        CHECK(bench.pace.window() == target.slots);
    }
}

TEST_CASE("a joiner with few requests is not held back and the learning ends") {
    warm_up_bench bench({.slots = 64});
    bench.pace.begin({bench.now});
    auto const calm = bench.run(4000, 5);
    CHECK(calm.requests >= 19);
    CHECK(calm.late == 0);
    CHECK_FALSE(bench.pace.is_learning());
}

// Its peers have a tenth of their slots in use: four of eight must not look like half of them.
TEST_CASE("a joiner beside idle peers does not look busier than they are") {
    learned_pace pace;
    pace.set_slots(64);
    pace.begin({1000});
    CHECK(pace.reported_limit(4) == 64);
    CHECK(pace.reported_limit(5) == 8);
    CHECK(pace.reported_limit(12) == 8);
}

TEST_CASE("a target of one slot gets its first request at once") {
    warm_up_bench bench({.slots = 1});
    bench.pace.begin({bench.now});
    CHECK(bench.run(50, 100).most_at_once == 1);
}

TEST_CASE("a joiner that bears only a part of its slots ends near what it bears") {
    warm_up_bench bench({.slots = 64, .borne = 16});
    bench.pace.begin({bench.now});
    bench.run(1500, 600);
    auto const settled = bench.run(3000, 600);
    CHECK(bench.pace.has_fallen());
    CHECK(settled.most_at_once <= 48);
    CHECK(settled.requests >= 0.9 * 3 * 160);
}

TEST_CASE("a joiner that refuses what it does not bear is sent less, once for each round trip") {
    warm_up_bench bench({.slots = 64, .refused_above = 20});
    bench.pace.begin({bench.now});
    auto const first = bench.run(2000, 400);
    CHECK(bench.pace.has_fallen());
    CHECK(first.refused <= 0.1 * first.requests);
    CHECK(first.requests >= 2 * 90);
}

// Its delay does not fall with the window, so that it is its own speed.
TEST_CASE("a joiner that is slow for good is used at its own speed") {
    warm_up_bench bench({.slots = 64, .slow_factor = 5});
    bench.pace.begin({bench.now});
    bench.run(5000, 60);
    auto const later = bench.run(3000, 60);
    CHECK(later.requests >= 0.9 * 3 * 60);
    CHECK_FALSE(bench.pace.is_learning());
}

TEST_CASE("all targets of a service that start at once carry it again within a second") {
    for (double const work_ms : {15.0, 100.0, 180.0}) {
        simulated_target const target{.work_ms = work_ms};
        warm_up_bench bench(target);
        double const per_s = 0.8 * target.slots / work_ms * 1000;
        bench.pace.begin({bench.now});
        auto const first = bench.run(1000, per_s);
        auto const second = bench.run(1000, per_s);
        CHECK(first.requests >= 0.4 * per_s);
        CHECK(second.requests >= 0.95 * per_s);
        CHECK(bench.waiting.empty());
    }
}

TEST_CASE("a target that has crashed and returns begins small again, also during its warm-up") {
    warm_up_bench bench({.slots = 64});
    bench.run(2000, 300);
    CHECK(bench.pace.window() == 64);
    for (int crash = 0; crash < 2; ++crash) {
        bench.pace.begin({bench.now});
        CHECK(bench.pace.window() == 8);
        bench.run(300, 300);
        CHECK(bench.pace.window() > 16);
    }
}

// The usual time was learnt while it was well: the longer time of a target that is loaded does not become it.
TEST_CASE("a returning target is compared with its own usual time where no peer reports one") {
    warm_up_bench bench({.slots = 64});
    bench.pace.set_peer_time({0});
    bench.run(2000, 300);
    bench.target.borne = 8;
    bench.pace.begin({bench.now});
    bench.run(2000, 600);
    CHECK(bench.pace.has_fallen());
    CHECK(bench.pace.learnt_window() <= 40);
}

TEST_CASE("what waits inside a target by its own statement lowers the window") {
    learned_pace pace;
    pace.set_slots(64);
    pace.begin({1000});
    double now = 1000;
    for (int count = 0; count < 24; ++count, now += 10) {
        pace.record_answer({.sent = {now - 5}, .own_time = {5}, .held_time = {5}}, {now});
    }
    int const before = pace.window();
    for (int count = 0; count < 5; ++count) {
        // Sent before the fall, so that only the first counts.
        pace.record_answer({.sent = {now - 5}, .own_time = {5}, .held_time = {5}, .stated_waiting = 20},
                           {now + count});
    }
    CHECK(pace.window() == before / 2);
    CHECK(pace.fall_count() == 1);
}

TEST_CASE("the cold rate goes first, and the learning does not end beneath it") {
    target_pace pace({0});
    pace.learned.set_slots(64);
    pace.cold.configure(10, {}, {0});
    pace.learned.begin({2000});
    CHECK(pace.binding_reason({2000}) == pace_reason::learned);
    pace.cold.begin({2000});
    double now = 2000;
    for (; now < 8000; now += 10) {
        if (pace.may_send({now})) {
            pace.record_sent({now});
            // Longer than usual, as it is cold: no sign.
            pace.learned.record_answer(
                {.sent = {now}, .own_time = {200}, .held_time = {200}, .is_cold = true}, {now + 200});
        }
        pace.learned.update(true, {now});
    }
    CHECK(pace.binding_reason({now}) == pace_reason::cold);
    CHECK(pace.learned.is_learning());
    CHECK_FALSE(pace.learned.has_fallen());
    pace.cold.end({now});
    for (double const end = now + 2500; now < end; now += 10) {
        pace.learned.record_answer({.sent = {now}, .own_time = {10}, .held_time = {10}}, {now + 10});
        pace.learned.update(false, {now});
    }
    CHECK_FALSE(pace.learned.is_learning());
    CHECK(pace.binding_reason({now}) == pace_reason::none);
}
