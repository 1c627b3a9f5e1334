/// What the host beside a target knows of whether the target is cold.
///
/// What it does not know counts as cold: for the service's whole cold time, unless an answer of the target
/// says how long it really is. Later knowledge replaces earlier; of two pieces of knowledge whose order is
/// not certain the longer time counts.
#pragma once

#include "base/clock.hpp"

namespace caraway {

class cold_state {
public:
    /// `span`: how long a target of the service is cold after it has started; 0 if nothing is configured.
    void configure(duration span) { this->cold_span = span; }

    /// The target may have started, or become cold, at any time until now.
    void assume(time_point now);
    /// The target does not answer. It may start at any time until it answers again.
    void note_lost(time_point now);
    void note_answer(time_point now);
    /// The host list names another incarnation of the target, which was cold for `remaining` longer.
    void on_new_incarnation(duration remaining, time_point now);
    /// A list names the same incarnation again. It changes nothing unless the remaining time has risen.
    void on_listed_again(duration remaining, time_point now);
    /// The target has said how much longer it is cold, 0 if it is not, in an answer to something that was
    /// sent at `asked`.
    void on_stated(duration remaining, time_point asked, time_point now);
    /// Another node knows that the target is cold for so much longer.
    void on_heard(duration remaining, time_point now);

    bool is_cold(time_point now) const { return this->is_lost || now < this->cold_until; }
    /// Whether the target has said that it was not cold although it was taken as such.
    bool is_refuted() const { return !this->is_assumed && !this->was_stated_cold; }
    /// How much longer the target is taken as cold.
    duration remaining(time_point now) const;

    /// Whether the target should be asked: it is taken as cold without having said so, and was not asked
    /// just now.
    bool wants_check(time_point now) const;
    void on_check_sent(time_point now);
    /// The check has ended, with or without an answer.
    void on_check_ended() { this->is_checking = false; }

private:
    void extend(duration remaining, time_point now);

    duration cold_span{0};
    time_point cold_until;
    time_point evidence_at; ///< When the newest reason to take it as cold, other than its own word, came up.
    bool is_assumed{false};
    bool is_lost{false};
    bool was_stated_cold{false}; ///< By the target itself, since the newest evidence.
    duration listed{0};          ///< The remaining time in the list in force.
    bool is_checking{false};
    time_point next_check;
    duration check_delay{0};
};

} // namespace caraway
