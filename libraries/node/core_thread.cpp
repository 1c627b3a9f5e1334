#include "node/core_thread.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace caraway {

namespace {

constexpr std::size_t event_ring_capacity = 65'536;
/// Bounds how late a deadline or an age limit is noticed while requests are live. The shortest limit is 80
/// ms. Everything else that a request waits for is an event of its own.
constexpr auto busy_interval = std::chrono::milliseconds(10);
/// The same while no request is live: periodic work of gossip and links is at least 50 ms apart.
constexpr auto idle_interval = std::chrono::milliseconds(25);
/// The loop waits no longer than for its periodic work; timers may be a few milliseconds late.
constexpr duration longest_wait{30};
/// How long requests are started before the loop takes in what has arrived meanwhile. Not shorter than what a
/// turn takes in at most, or an overloaded loop would read more and more and start little of it.
constexpr duration longest_start_time{100};
constexpr duration status_interval{250};
/// How often the texts of metrics and status are refreshed without a reader. Generating them costs more than
/// serving many requests.
constexpr duration unread_texts_interval{2000};
/// The texts count as being read for this long after a reader fetched them: metrics are commonly scraped
/// every few seconds.
constexpr duration text_reader_timeout{10'000};

/// Whether whoever pushes the event handles a refusal: a listener answers its caller, a link closes. Of all
/// other events at most a few exist for each live request, connection and document, so that they need no
/// bound.
bool may_be_refused(core_event const& event) {
    auto const* link = std::get_if<link_event>(&event);
    return std::holds_alternative<listener_request>(event) ||
           (link != nullptr && link->kind == link_event_kind::received);
}

} // namespace

core_thread::core_thread(settings wanted, platform_traits traits, std::uint64_t incarnation,
                         std::function<void(effects&&)> handler)
    : core(std::move(wanted), traits, incarnation, {}, monotonic_clock::now()),
      effect_handler(std::move(handler)), events(event_ring_capacity),
      published_status(std::make_shared<node_status const>()), periodic_timer(event_loop.context()) {
    this->event_loop.set_longest_wait(longest_wait);
    this->events.set_wake_callback([this] {
        if (this->event_loop.context().get_executor().running_in_this_thread()) {
            return this->request_turn_end();
        }
        boost::asio::post(this->event_loop.context(), [this] { this->request_turn_end(); });
    });
}

core_thread::~core_thread() {
    this->stop();
}

void core_thread::start() {
    this->schedule_periodic_tasks();
    this->event_loop.start();
}

void core_thread::stop() {
    this->event_loop.stop();
}

bool core_thread::push(core_event&& event) {
    auto stored = std::make_unique<core_event>(std::move(event));
    if (this->events.try_push(std::move(stored))) {
        return true;
    }
    // A failed push leaves the event unchanged (bounded_queue), which the linter can't know.
    // NOLINTBEGIN(bugprone-use-after-move)
    ++this->refused_events;
    if (may_be_refused(*stored)) {
        return false;
    }
    boost::asio::post(this->event_loop.context(), [this, deferred = std::move(stored)]() mutable {
        this->overflow.push_back(std::move(deferred));
        this->request_turn_end();
    });
    return true;
    // NOLINTEND(bugprone-use-after-move)
}

std::shared_ptr<node_status const> core_thread::status_with_texts() {
    this->texts_read_at = monotonic_clock::now().milliseconds;
    return this->status();
}

void core_thread::schedule_periodic_tasks() {
    auto const interval = this->idle ? idle_interval : busy_interval;
    this->periodic_tasks_due = monotonic_clock::now() + duration{static_cast<double>(interval.count())};
    this->periodic_timer.expires_after(interval);
    this->periodic_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            this->periodic_tasks_pending = true;
            this->request_turn_end();
        }
    });
}

void core_thread::request_turn_end() {
    if (!std::exchange(this->turn_end_requested, true)) {
        this->event_loop.run_at_turn_end(turn_stage::decide, [this] { this->run_turn_end(); });
    }
}

void core_thread::run_turn_end() {
    this->turn_end_requested = false;
    this->take_in_events();
    if (std::exchange(this->periodic_tasks_pending, false)) {
        this->run_periodic_tasks();
    }
    this->start_requests();
    this->apply_effects_and_publish_status(monotonic_clock::now());
}

void core_thread::take_in_events() {
    std::vector<std::unique_ptr<core_event>> arrived;
    this->events.drain(
        [&arrived](std::unique_ptr<core_event>&& event) { arrived.push_back(std::move(event)); });
    std::ranges::move(std::exchange(this->overflow, {}), std::back_inserter(arrived));
    order_arrivals(arrived);
    auto began = monotonic_clock::now();
    for (auto& event : arrived) {
        auto const name = step_name(*event);
        this->core.take_in(std::move(*event), began);
        auto const ended = monotonic_clock::now();
        this->watch.record_step(name, ended - began);
        began = ended;
    }
}

void core_thread::start_requests() {
    auto const first = monotonic_clock::now();
    auto began = first;
    while (this->core.start_next(began)) {
        auto const ended = monotonic_clock::now();
        this->watch.record_step("start", ended - began);
        began = ended;
        if (began - first >= longest_start_time) {
            // The next turn takes in what has arrived meanwhile before it goes on.
            boost::asio::post(this->event_loop.context(), [this] { this->request_turn_end(); });
            return;
        }
    }
}

void core_thread::run_periodic_tasks() {
    auto const now = monotonic_clock::now();
    this->core.record_loop_turn(this->watch.end_turn(this->periodic_tasks_due, now));
    this->core.run_periodic_tasks(now);
    this->watch.record_step("periodic", monotonic_clock::now() - now);
    this->schedule_periodic_tasks();
}

void core_thread::apply_effects_and_publish_status(time_point now) {
    auto const began = monotonic_clock::now();
    this->effect_handler(this->core.take_effects());
    this->watch.record_step("effects", monotonic_clock::now() - began);
    this->idle = this->core.is_idle();
    if (now >= this->next_status_refresh) {
        this->next_status_refresh = now + status_interval;
        bool const has_reader = now - time_point{this->texts_read_at} < text_reader_timeout;
        bool const with_texts = has_reader || now >= this->next_text_refresh;
        this->next_text_refresh = with_texts ? now + unread_texts_interval : this->next_text_refresh;
        auto const status_began = monotonic_clock::now();
        this->core.set_refused_event_count(this->refused_events);
        auto snapshot = this->core.status(with_texts, now);
        if (!with_texts) {
            snapshot->metrics_text = this->published_status->metrics_text;
            snapshot->status_json = this->published_status->status_json;
        }
        std::atomic_store(&this->published_status, std::shared_ptr<node_status const>(std::move(snapshot)));
        this->watch.record_step("status", monotonic_clock::now() - status_began);
    }
}

} // namespace caraway
