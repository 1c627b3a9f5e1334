/// The queue is bounded, keeps each producer's order, and wakes its consumer.

#include "base/bounded_queue.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

using namespace caraway;

TEST_CASE("a push to a full queue fails and leaves the item with the producer") {
    bounded_queue<std::unique_ptr<int>> queue(1);
    CHECK(queue.try_push(std::make_unique<int>(1)));
    auto second = std::make_unique<int>(2);
    CHECK_FALSE(queue.try_push(std::move(second)));
    REQUIRE(second != nullptr);
    std::vector<int> received;
    queue.drain([&](std::unique_ptr<int>&& item) { received.push_back(*item); });
    CHECK(received == std::vector<int>{1});
    CHECK(queue.try_push(std::move(second)));
}

TEST_CASE("all items of several producers arrive, each producer's in order") {
    bounded_queue<std::pair<int, int>> queue(64);
    std::atomic<int> wakes{0};
    queue.set_wake_callback([&] { ++wakes; });
    constexpr int writers = 4;
    constexpr int each = 2000;
    std::vector<std::thread> threads;
    for (int writer = 0; writer < writers; ++writer) {
        threads.emplace_back([&queue, writer] {
            for (int number = 0; number < each; ++number) {
                while (!queue.try_push({writer, number})) {
                    std::this_thread::yield();
                }
            }
        });
    }
    std::vector<int> next(writers, 0);
    int total = 0;
    while (total < writers * each) {
        queue.drain([&](std::pair<int, int>&& item) {
            CHECK(item.second == next[static_cast<std::size_t>(item.first)]++);
            ++total;
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK(wakes > 0);
}
