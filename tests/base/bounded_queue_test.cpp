/// A ring is bounded, keeps the order, and wakes its reader.

#include "base/bounded_queue.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

using namespace caraway;

TEST_CASE("a full ring refuses and leaves the item with its owner") {
    bounded_queue<std::unique_ptr<int>> ring(1);
    CHECK(ring.try_push(std::make_unique<int>(1)));
    auto second = std::make_unique<int>(2);
    CHECK_FALSE(ring.try_push(std::move(second)));
    REQUIRE(second != nullptr);
    std::vector<int> got;
    ring.drain([&](std::unique_ptr<int>&& item) { got.push_back(*item); });
    CHECK(got == std::vector<int>{1});
    CHECK(ring.try_push(std::move(second)));
}

TEST_CASE("items of many writers all arrive, each writer's in order") {
    bounded_queue<std::pair<int, int>> ring(64);
    std::atomic<int> wakes{0};
    ring.set_wake_callback([&] { ++wakes; });
    constexpr int writers = 4;
    constexpr int each = 2000;
    std::vector<std::thread> threads;
    for (int writer = 0; writer < writers; ++writer) {
        threads.emplace_back([&ring, writer] {
            for (int number = 0; number < each; ++number) {
                while (!ring.try_push({writer, number})) {
                    std::this_thread::yield();
                }
            }
        });
    }
    std::vector<int> next(writers, 0);
    int total = 0;
    while (total < writers * each) {
        ring.drain([&](std::pair<int, int>&& item) {
            CHECK(item.second == next[static_cast<std::size_t>(item.first)]++);
            ++total;
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK(wakes > 0);
}
