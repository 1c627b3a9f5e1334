#include "policy/cold_state.hpp"

#include <algorithm>

namespace caraway {

namespace {

constexpr duration min_check_delay{500};
constexpr duration max_check_delay{4000};
/// A longer time is taken as damaged.
constexpr duration max_cold_time{600'000};
/// Several nodes write lists, each with the remaining time that it was the first to read. A time that exceeds
/// what is left by more than this is a new one.
constexpr duration list_tolerance{1000};

} // namespace

void cold_state::extend(duration remaining, time_point now) {
    this->cold_until = std::max(this->cold_until, now + std::min(remaining, max_cold_time));
    this->evidence_at = now;
    this->is_assumed = true;
    this->was_stated_cold = false;
}

void cold_state::assume(time_point now) {
    this->extend(this->cold_span, now);
}

void cold_state::note_lost(time_point now) {
    this->is_lost = true;
    this->extend(this->cold_span, now);
}

void cold_state::note_answer(time_point now) {
    if (this->is_lost) {
        this->is_lost = false;
        this->assume(now);
    }
}

void cold_state::on_new_incarnation(duration remaining, time_point now) {
    this->listed = remaining;
    this->extend(std::max(remaining, this->cold_span), now);
}

void cold_state::on_listed_again(duration remaining, time_point now) {
    bool const is_rise = this->listed == duration{0} || remaining > this->remaining(now) + list_tolerance;
    bool const is_new = remaining > duration{0} && remaining != this->listed && is_rise;
    this->listed = remaining;
    if (is_new) {
        this->extend(remaining, now);
    }
}

void cold_state::on_stated(duration remaining, time_point asked, time_point now) {
    auto const until = now + std::min(remaining, max_cold_time);
    if (asked < this->evidence_at) {
        this->cold_until = std::max(this->cold_until, until);
        return;
    }
    this->cold_until = until;
    this->is_assumed = false;
    this->was_stated_cold = this->was_stated_cold || remaining > duration{0};
    this->is_lost = false;
    this->check_delay = {0};
}

void cold_state::on_heard(duration remaining, time_point now) {
    if (remaining > this->remaining(now)) {
        this->extend(remaining, now);
    }
}

duration cold_state::remaining(time_point now) const {
    auto const left = std::max(duration{0}, this->cold_until - now);
    return this->is_lost ? std::max(left, this->cold_span) : left;
}

bool cold_state::wants_check(time_point now) const {
    return this->is_cold(now) && this->is_assumed && !this->is_checking && now >= this->next_check;
}

void cold_state::on_check_sent(time_point now) {
    this->is_checking = true;
    this->check_delay = std::clamp(this->check_delay + this->check_delay, min_check_delay, max_check_delay);
    this->next_check = now + this->check_delay;
}

} // namespace caraway
