#include "node/core_thread.hpp"

#include <chrono>

namespace caraway {

namespace {

constexpr std::size_t ring_capacity = 65'536;
/// How late a deadline or an age limit may be noticed.
constexpr auto busy_wait = std::chrono::milliseconds(2);
constexpr auto idle_wait = std::chrono::milliseconds(10);
constexpr duration tick_interval{2};
constexpr duration publish_interval{250};

} // namespace

core_thread::core_thread(settings wanted, bool platform_is_current, std::uint64_t incarnation,
                         std::function<void(effects&&)> handler)
    : core(std::move(wanted), platform_is_current, incarnation, {}, monotonic_clock::now()),
      carry_out(std::move(handler)), events(ring_capacity), published(std::make_shared<node_status const>()) {
    this->events.set_wake([this] {
        {
            std::lock_guard const guard(this->mutex);
            this->pending = true;
        }
        this->woken.notify_one();
    });
}

core_thread::~core_thread() {
    this->stop();
}

void core_thread::start() {
    this->worker = std::thread([this] { this->run(); });
}

void core_thread::stop() {
    this->stopping = true;
    this->woken.notify_one();
    if (this->worker.joinable()) {
        this->worker.join();
    }
}

bool core_thread::push(core_event&& event) {
    return this->events.try_push(std::make_unique<core_event>(std::move(event)));
}

void core_thread::wait() {
    std::unique_lock lock(this->mutex);
    this->woken.wait_for(lock, this->idle ? idle_wait : busy_wait,
                         [this] { return this->pending || this->stopping; });
    this->pending = false;
}

void core_thread::run() {
    time_point next_tick;
    time_point next_publish;
    while (!this->stopping) {
        this->wait();
        this->events.drain([this](std::unique_ptr<core_event>&& event) {
            this->core.handle(std::move(*event), monotonic_clock::now());
        });
        auto const now = monotonic_clock::now();
        if (now >= next_tick) {
            next_tick = now + tick_interval;
            this->core.tick(now);
        }
        this->carry_out(this->core.take_effects());
        this->idle = this->core.is_idle();
        if (now >= next_publish) {
            next_publish = now + publish_interval;
            std::atomic_store(&this->published, std::shared_ptr<node_status const>(this->core.status(now)));
        }
    }
}

} // namespace caraway
