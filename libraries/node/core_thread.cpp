#include "node/core_thread.hpp"

#include <boost/asio/post.hpp>

#include <chrono>

namespace caraway {

namespace {

constexpr std::size_t ring_capacity = 65'536;
/// How late a deadline or an age limit may be noticed while requests are live. The shortest of them is 150
/// ms.
constexpr auto busy_tick = std::chrono::milliseconds(4);
/// The same while nothing is live: gossip and rights are due every ten milliseconds or more.
constexpr auto idle_tick = std::chrono::milliseconds(10);
constexpr duration publish_interval{250};
/// Metrics and status as text cost more than many requests; without a reader they are made this often.
constexpr duration unread_texts_interval{2000};
/// A reader that came within this span counts as one: metrics are commonly fetched every few seconds.
constexpr duration reader_memory{10'000};

} // namespace

core_thread::core_thread(settings wanted, platform_traits traits, std::uint64_t incarnation,
                         std::function<void(effects&&)> handler)
    : core(std::move(wanted), traits, incarnation, {}, monotonic_clock::now()), carry_out(std::move(handler)),
      events(ring_capacity), published(std::make_shared<node_status const>()), ticks(events_loop.context()) {
    this->events.set_wake_callback(
        [this] { boost::asio::post(this->events_loop.context(), [this] { this->drain_events(); }); });
}

core_thread::~core_thread() {
    this->stop();
}

void core_thread::start() {
    this->schedule_tick();
    this->events_loop.start();
}

void core_thread::stop() {
    this->events_loop.stop();
}

bool core_thread::push(core_event&& event) {
    return this->events.try_push(std::make_unique<core_event>(std::move(event)));
}

std::shared_ptr<node_status const> core_thread::read_texts() {
    this->texts_read_at = monotonic_clock::now().milliseconds;
    return this->status();
}

void core_thread::schedule_tick() {
    this->ticks.expires_after(this->idle ? idle_tick : busy_tick);
    this->ticks.async_wait([this](boost::system::error_code error) {
        if (!error) {
            this->tick();
            this->schedule_tick();
        }
    });
}

void core_thread::drain_events() {
    this->events.drain([this](std::unique_ptr<core_event>&& event) {
        this->core.handle(std::move(*event), monotonic_clock::now());
    });
    this->carry_out_all(monotonic_clock::now());
}

void core_thread::tick() {
    auto const now = monotonic_clock::now();
    this->core.tick(now);
    this->carry_out_all(now);
}

void core_thread::carry_out_all(time_point now) {
    this->carry_out(this->core.take_effects());
    this->idle = this->core.is_idle();
    if (now >= this->next_publish) {
        this->next_publish = now + publish_interval;
        bool const has_reader = now - time_point{this->texts_read_at} < reader_memory;
        bool const with_texts = has_reader || now >= this->next_texts;
        this->next_texts = with_texts ? now + unread_texts_interval : this->next_texts;
        auto made = this->core.status(with_texts, now);
        if (!with_texts) {
            made->metrics_text = this->published->metrics_text;
            made->status_json = this->published->status_json;
        }
        std::atomic_store(&this->published, std::shared_ptr<node_status const>(std::move(made)));
    }
}

} // namespace caraway
