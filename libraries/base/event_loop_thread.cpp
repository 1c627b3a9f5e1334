#include "base/event_loop_thread.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace caraway {

namespace {

/// Bounds how long what has arrived waits for what arrives behind it, so that a loop that gets more than it
/// can read still answers. A fifth of the time within which work for a caller that has left has to end.
constexpr duration longest_take_in{100};

} // namespace

void event_loop_thread::stop() {
    this->io.stop();
    if (this->worker.joinable()) {
        this->worker.join();
    }
}

void event_loop_thread::run_at_turn_end(turn_stage stage, std::function<void()> task) {
    auto& tasks = this->turn_end_tasks.at(static_cast<std::size_t>(stage));
    if (this->io.get_executor().running_in_this_thread()) {
        tasks.push_back(std::move(task));
        return;
    }
    boost::asio::post(
        this->io, [&tasks, deferred = std::move(task)]() mutable { tasks.push_back(std::move(deferred)); });
}

arrival event_loop_thread::current_arrival() const {
    auto const now = monotonic_clock::now();
    auto const since = now - this->nothing_ready_at;
    bool const is_late = this->longest_wait && since > *this->longest_wait;
    return {.read = now, .unread = is_late ? since : duration{0}};
}

void event_loop_thread::run() {
    this->nothing_ready_at = monotonic_clock::now();
    while (this->io.run_one() > 0) {
        this->take_in_arrivals();
        this->run_turn_end_tasks();
    }
}

void event_loop_thread::take_in_arrivals() {
    auto const end = monotonic_clock::now() + longest_take_in;
    while (this->io.poll_one() > 0) {
        if (monotonic_clock::now() >= end) {
            return;
        }
    }
    this->nothing_ready_at = monotonic_clock::now();
}

void event_loop_thread::run_turn_end_tasks() {
    auto const has_tasks = [](auto const& tasks) { return !tasks.empty(); };
    while (std::ranges::any_of(this->turn_end_tasks, has_tasks)) {
        for (auto& tasks : this->turn_end_tasks) {
            for (auto const& task : std::exchange(tasks, {})) {
                task();
            }
        }
    }
}

} // namespace caraway
