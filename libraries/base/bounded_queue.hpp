/// A bounded queue between two duties' threads, with a wake-up for the reader.
#pragma once

#include <boost/circular_buffer.hpp>

#include <concepts>
#include <functional>
#include <mutex>
#include <utility>

namespace caraway {

/// Many writers, one reader. A push never blocks: a full ring refuses, and the writer answers for the
/// refusal. The wake-up runs on the writer's thread whenever the ring stops being empty; it must be cheap and
/// thread-safe.
template <typename T>
class bounded_queue {
public:
    explicit bounded_queue(std::size_t capacity) : items(capacity), drain_buffer(capacity) {}

    /// Sets the reader's wake-up; call it before the first push.
    void set_wake_callback(std::function<void()> callback) { this->wake_callback = std::move(callback); }

    /// Returns false, and leaves `item` as it was, when the ring is full.
    [[nodiscard]] bool try_push(T&& item) {
        bool was_empty = false;
        {
            std::lock_guard const guard(this->mutex);
            if (this->items.full()) {
                return false;
            }
            was_empty = this->items.empty();
            this->items.push_back(std::move(item));
        }
        if (was_empty && this->wake_callback) {
            this->wake_callback();
        }
        return true;
    }

    /// Moves everything out through `consume`; runs the calls outside the lock.
    template <std::invocable<T&&> Consumer>
    std::size_t drain(Consumer&& consume) {
        {
            std::lock_guard const guard(this->mutex);
            this->drain_buffer.swap(this->items);
        }
        auto const count = this->drain_buffer.size();
        for (auto& item : this->drain_buffer) {
            consume(std::move(item));
        }
        this->drain_buffer.clear();
        return count;
    }

private:
    std::mutex mutex;
    boost::circular_buffer<T> items;
    boost::circular_buffer<T> drain_buffer; ///< Only the reader touches it outside the lock.
    std::function<void()> wake_callback;
};

} // namespace caraway
