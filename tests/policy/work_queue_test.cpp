/// The order of the queue, its capacity and its age limits.

#include "policy/work_queue.hpp"

#include <doctest/doctest.h>

using namespace caraway;

namespace {

queued_work work(std::uint64_t id, std::uint8_t priority, std::string organisation, bool is_nested = false) {
    return {.id = id,
            .is_nested = is_nested,
            .priority = priority,
            .organisation = std::move(organisation),
            .weight = 1,
            .arrived = {0},
            .deadline = {10'000}};
}

} // namespace

TEST_CASE("nested work comes first, then the priority class, then the organisation with the least service") {
    work_queue queue(10);
    queue.push(work(1, 2, "a"));
    queue.push(work(2, 0, "a"));
    queue.push(work(3, 0, "a"));
    queue.push(work(4, 0, "b"));
    queue.push(work(5, 2, "c", true));
    std::vector<std::uint64_t> expired;
    std::vector<std::uint64_t> order;
    while (auto const id = queue.pop({1}, expired)) {
        order.push_back(id);
    }
    CHECK(order == std::vector<std::uint64_t>{5, 2, 4, 3, 1});
}

TEST_CASE("a full queue evicts the least important work") {
    work_queue queue(2);
    CHECK(queue.push(work(1, 2, "a")) == 0);
    CHECK(queue.push(work(2, 1, "a")) == 0);
    CHECK(queue.push(work(3, 0, "a")) == 1);
    CHECK(queue.push(work(4, 2, "b")) == 4);
}

TEST_CASE(
    "deep bottleneck: nested calls of running requests get more queue places than new work, and evict it") {
    work_queue queue(2, 4);
    CHECK(queue.push(work(1, 2, "a", true)) == 0);
    CHECK(queue.push(work(2, 0, "a")) == 0);
    CHECK(queue.push(work(3, 2, "a", true)) == 2);
    CHECK(queue.push(work(4, 2, "a", true)) == 0);
    CHECK(queue.push(work(5, 2, "a", true)) == 0);
    CHECK(queue.push(work(6, 0, "a")) == 6);
    CHECK(queue.push(work(7, 2, "a", true)) == 7);
}

TEST_CASE("work past its age limit or deadline is returned as expired") {
    work_queue queue(10);
    queue.push(work(1, 0, "a"));
    auto short_lived = work(2, 0, "b");
    short_lived.deadline = {50};
    queue.push(short_lived);
    std::vector<std::uint64_t> expired;
    queue.remove_expired({60}, expired);
    CHECK(expired == std::vector<std::uint64_t>{2});
    CHECK(queue.pop({5000}, expired) == 0);
    CHECK(expired == std::vector<std::uint64_t>{2, 1});
}
