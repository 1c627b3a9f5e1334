/// Finds how many requests a target that has just started or recovered bears at once, from how it answers.
///
/// The window begins as a small part of the slots and grows with each answer that keeps up, so that it
/// doubles in a round trip. At the first sign that the target does not keep up the window is halved, once for
/// each round trip, and grows slowly from there. It ends when the target has borne all slots, or when nothing
/// speaks against the target any more. Delay that a smaller window does not reduce is the target's own speed
/// and no sign.
#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace caraway {

/// How a target answered one request.
struct paced_answer {
    std::uint64_t kind{0}; ///< Requests of one kind take about the same time.
    time_point sent;
    duration own_time;        ///< Without the calls that the target made.
    duration held_time;       ///< With them.
    bool is_refused{false};   ///< The target was too busy to run it.
    bool is_cold{false};      ///< The target takes longer because it is cold.
    bool others_wait{false};  ///< Requests wait for a slot of the target.
    int stated_waiting{0};    ///< Requests that wait inside the target by its own statement.
    double work_percent{100}; ///< How long work takes now by its own statement, 100 for the usual time.
};

class learned_pace {
public:
    void set_slots(int count);
    /// The target has started, or answers again after a time without service.
    void begin(time_point now);
    /// What peers of the same service report as the time that a request holds a slot; 0 if unknown.
    void set_peer_time(duration held_time) { this->peer_time = held_time; }
    void record_answer(paced_answer const& answer, time_point now);
    /// Ends the learning when it has settled. `is_cold`: the target is cold, so that it can't settle yet.
    void update(bool is_cold, time_point now);

    bool is_learning() const { return this->learning; }
    /// Requests that may be at the target at once; its slots when nothing is learnt.
    int window() const;
    /// The limit that other nodes weigh the requests at the target over. It is the window once half of it is
    /// used. Before, a small window would make a target that is nearly idle look busier than its peers.
    int reported_limit(std::size_t present) const;
    /// Requests per second; 0 before the first answer.
    double pace() const;
    /// How long a request holds a slot, by the latest answers; 0 before the first.
    duration request_time() const { return {this->mean_held_ms}; }
    /// Whether the target showed that it does not keep up since `begin`.
    bool has_fallen() const { return this->falls > 0; }
    int fall_count() const { return this->falls; }
    /// The window at the end of the learning, or now.
    int learnt_window() const;
    time_point begun_at() const { return this->begun; }

private:
    struct kind_time {
        double usual_ms{0};
        int answers{0};
    };
    /// Answers to requests that were sent since the start of the round.
    struct round_sums {
        time_point start;
        int answers{0};
        int compared{0}; ///< With a known usual time.
        double actual_ms{0};
        double expected_ms{0};
        double held_ms{0};
    };

    double least_window() const;
    void record_time(paced_answer const& answer);
    void close_round(time_point now);
    void fall(time_point now);
    /// How many times as long as usual the requests of the round took; 0 if that is unknown.
    double slowdown() const;

    double slots{1};
    bool learning{false};
    bool has_answered{false};
    double current_window{1};
    bool has_peaked{false};        ///< The window has fallen and grows slowly.
    bool has_reached_slots{false}; ///< In a round before; this one shows whether the target bears them.
    int falls{0};
    time_point begun;
    time_point
        settled_from; ///< Of the first answer, while the target is cold of now, after that of the last sign.
    time_point answered_first;
    time_point fell_at;
    double tolerated_slowdown{0};
    double slowdown_before_fall{0}; ///< 0 unless delay made the window fall in the round before.
    duration peer_time{0};
    round_sums round;
    double mean_held_ms{0};
    std::unordered_map<std::uint64_t, kind_time> kinds;
};

} // namespace caraway
