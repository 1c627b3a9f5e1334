/// A bounded queue that passes items from any number of threads to one consumer thread.
#pragma once

#include <boost/circular_buffer.hpp>

#include <concepts>
#include <functional>
#include <mutex>
#include <utility>

namespace caraway {

/// Multiple producers, one consumer. A push never blocks: when the queue is full it fails, and the producer
/// handles the failure. The wake callback runs on the producer's thread whenever the queue stops being empty;
/// it must be cheap and thread-safe.
template <typename T>
class bounded_queue {
public:
    explicit bounded_queue(std::size_t capacity) : items(capacity), drain_buffer(capacity) {}

    /// Sets the callback that wakes the consumer; call it before the first push.
    void set_wake_callback(std::function<void()> callback) { this->wake_callback = std::move(callback); }

    /// Returns false, and leaves `item` as it was, when the queue is full.
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

    /// Removes all items and passes each to `consume`, in order. The calls run outside the lock. Returns the
    /// number of items.
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
    boost::circular_buffer<T> drain_buffer; ///< Swapped with `items` under the lock; else the consumer's own.
    std::function<void()> wake_callback;
};

} // namespace caraway
