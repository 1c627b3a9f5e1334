#include "policy/learned_pace.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

/// The window begins with this part of the slots.
constexpr double initial_fraction = 0.125;
/// Of the window for each answer that keeps up: the window doubles in a round trip, and grows by half more
/// while requests wait for it.
constexpr double growth = 1;
constexpr double growth_with_queue = 1.5;
/// After a fall.
constexpr double cautious_growth = 0.125;
constexpr double fall_factor = 0.5;
/// Requests that may wait inside a target for each of its slots: it takes a moment to begin one.
constexpr double tolerated_waiting = 0.1;
constexpr int min_round_answers = 4;
constexpr int max_round_answers = 16;
/// Requests that take this many times as long as usual, and this much longer, show that the target does not
/// keep up. Peers have other hardware, so that more is tolerated than against the target's own usual time.
constexpr double default_slowdown = 2;
constexpr double peer_tolerance = 1.5;
constexpr duration slowdown_margin{20};
/// A smaller window that leaves this part of a slowdown did not cause it.
constexpr double same_slowdown = 0.8;
constexpr double accepted_margin = 1.5;
/// Without a sign for this long the learning ends, in any case after the longest span.
constexpr duration settle_span{2000};
constexpr duration longest_span{10'000};
constexpr double usual_time_smoothing = 0.05;
constexpr double held_time_smoothing = 0.2;
/// Fewer answers of a kind do not say how long it usually takes.
constexpr int min_kind_answers = 4;
constexpr std::size_t max_kinds = 64;
constexpr double usual_percent = 100;
constexpr double max_slowdown_percent = 1000;

} // namespace

void learned_pace::set_slots(int count) {
    this->slots = std::max(1, count);
    if (this->learning) {
        this->current_window = std::clamp(this->current_window, this->least_window(), this->slots);
    }
}

double learned_pace::least_window() const {
    return std::max(1.0, std::round(this->slots * initial_fraction));
}

int learned_pace::window() const {
    return this->learning ? this->learnt_window() : static_cast<int>(this->slots);
}

int learned_pace::learnt_window() const {
    return static_cast<int>(std::max(1.0, std::floor(this->current_window)));
}

int learned_pace::reported_limit(std::size_t present) const {
    bool const is_half_used = present * 2 > static_cast<std::size_t>(this->window());
    return is_half_used ? this->window() : static_cast<int>(this->slots);
}

double learned_pace::pace() const {
    constexpr double milliseconds_per_second = 1000;
    return this->mean_held_ms > 0 ? this->window() * milliseconds_per_second / this->mean_held_ms : 0;
}

void learned_pace::begin(time_point now) {
    if (this->learning && !this->has_answered) {
        return;
    }
    this->learning = true;
    this->has_answered = false;
    this->current_window = this->least_window();
    this->has_peaked = false;
    this->has_reached_slots = false;
    this->falls = 0;
    this->begun = now;
    this->fell_at = now;
    this->tolerated_slowdown = default_slowdown;
    this->slowdown_before_fall = 0;
    this->round = {.start = now};
}

void learned_pace::record_time(paced_answer const& answer) {
    double const percent = std::clamp(answer.work_percent, usual_percent, max_slowdown_percent);
    double const work_ms = answer.own_time.milliseconds * usual_percent / percent;
    this->mean_held_ms += (this->mean_held_ms > 0 ? held_time_smoothing : 1) *
                          (answer.held_time.milliseconds - this->mean_held_ms);
    if (answer.is_cold || (this->kinds.size() >= max_kinds && !this->kinds.contains(answer.kind))) {
        return;
    }
    auto& kind = this->kinds[answer.kind];
    bool const is_known = kind.answers >= min_kind_answers;
    bool const is_compared = this->learning && answer.sent >= this->round.start;
    if (is_compared) {
        ++this->round.answers;
        this->round.held_ms += answer.held_time.milliseconds * usual_percent / percent;
    }
    if (is_compared && is_known) {
        ++this->round.compared;
        this->round.actual_ms += work_ms;
        this->round.expected_ms += kind.usual_ms;
    }
    // While it learns, what a loaded target takes must not become its usual time.
    if (!this->learning || !is_known) {
        ++kind.answers;
        double const weight = is_known ? usual_time_smoothing : 1.0 / kind.answers;
        kind.usual_ms += weight * (work_ms - kind.usual_ms);
    }
}

double learned_pace::slowdown() const {
    auto const ratio = [](double sum, double usual, int answers) {
        bool const is_beyond = sum > usual + slowdown_margin.milliseconds * answers;
        return is_beyond ? sum / std::max(1.0, usual) : 0;
    };
    auto const& sums = this->round;
    double const by_history =
        sums.compared * 2 >= sums.answers ? ratio(sums.actual_ms, sums.expected_ms, sums.compared) : 0;
    double const by_peers =
        this->peer_time > duration{0}
            ? ratio(sums.held_ms, this->peer_time.milliseconds * sums.answers, sums.answers) / peer_tolerance
            : 0;
    return std::max(by_history, by_peers);
}

void learned_pace::fall(time_point now) {
    this->current_window = std::max(this->least_window(), this->current_window * fall_factor);
    this->has_peaked = true;
    this->has_reached_slots = false;
    ++this->falls;
    this->fell_at = now;
    this->settled_from = now;
    this->round = {.start = now};
}

void learned_pace::close_round(time_point now) {
    double const measured = this->slowdown();
    bool const is_unchanged =
        this->slowdown_before_fall > 0 && measured >= this->slowdown_before_fall * same_slowdown;
    if (is_unchanged) {
        this->tolerated_slowdown = measured * accepted_margin;
        this->has_peaked = false;
    }
    this->slowdown_before_fall = 0;
    if (measured > this->tolerated_slowdown) {
        this->slowdown_before_fall = measured;
        return this->fall(now);
    }
    this->learning = !this->has_reached_slots;
    this->round = {.start = now};
}

void learned_pace::record_answer(paced_answer const& answer, time_point now) {
    if (answer.is_refused) {
        if (this->learning && answer.sent >= this->fell_at) {
            this->fall(now);
        }
        return;
    }
    this->record_time(answer);
    if (!this->learning) {
        return;
    }
    if (!this->has_answered) {
        this->has_answered = true;
        this->answered_first = now;
        this->settled_from = now;
    }
    if (answer.sent < this->fell_at) {
        return;
    }
    if (answer.stated_waiting > 1 + this->slots * tolerated_waiting) {
        return this->fall(now);
    }
    double const step =
        this->has_peaked ? cautious_growth : (answer.others_wait ? growth_with_queue : growth);
    this->current_window = std::min(this->slots, this->current_window + step);
    if (this->current_window >= this->slots && !this->has_reached_slots) {
        this->has_reached_slots = true;
        this->round = {.start = now};
    }
    int const wanted = std::clamp(this->window(), min_round_answers, max_round_answers);
    if (this->round.answers >= wanted) {
        this->close_round(now);
    }
}

void learned_pace::update(bool is_cold, time_point now) {
    if (!this->learning || !this->has_answered) {
        return;
    }
    if (is_cold) {
        this->answered_first = now;
        this->settled_from = now;
    }
    bool const is_settled = now - this->settled_from >= settle_span;
    this->learning = !is_settled && now - this->answered_first < longest_span;
}

} // namespace caraway
