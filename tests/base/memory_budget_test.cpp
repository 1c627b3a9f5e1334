/// What the parts of a process may hold together, and who has to give way.

#include "base/memory_budget.hpp"
#include "base/message_body.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace caraway;

namespace {

constexpr std::size_t limit = 1'600'000;

} // namespace

TEST_CASE("one purpose can't take the part of the budget that belongs to another") {
    memory_budget budget(limit);
    memory_charge requests(&budget, held_for::requests);
    memory_charge answers(&budget, held_for::answers);
    CHECK_FALSE(requests.try_resize(limit));
    // All but the reserves of the others and what is left to small holdings.
    CHECK(requests.try_resize(limit - 2 * limit / 8 - limit / 16));
    CHECK_FALSE(requests.try_resize(requests.size() + 1));
    CHECK(answers.try_resize(limit / 16));
    CHECK(budget.held() == requests.size() + answers.size());
}

TEST_CASE("a small holding fits where a large one does not") {
    memory_budget budget(limit);
    memory_charge large(&budget, held_for::requests);
    REQUIRE(large.try_resize(limit - 2 * limit / 8 - limit / 16));
    memory_charge small(&budget, held_for::requests);
    CHECK(small.try_resize(small_holding_bytes));
    CHECK_FALSE(small.try_resize(small_holding_bytes + 1));
    CHECK(small.size() == small_holding_bytes);
}

TEST_CASE("a charge that does not fit lets others give way, but not its owner") {
    memory_budget budget(limit);
    memory_charge held(&budget, held_for::requests);
    int owner = 0;
    int asked = 0;
    budget.add_reclaimer(held_for::requests, [&](memory_budget::claimant const& wanting) {
        ++asked;
        CHECK(wanting.owner == &owner);
        bool const gives_way = held.size() > 0;
        held.release();
        return gives_way;
    });
    REQUIRE(held.try_resize(limit / 2));
    memory_charge wanted(&budget, held_for::requests);
    CHECK(wanted.try_resize(limit / 2, &owner));
    CHECK(asked == 1);
    CHECK_FALSE(wanted.try_resize(limit, &owner));
    CHECK(asked == 2);
    CHECK(budget.held() == limit / 2);
}

TEST_CASE("a charge is given back once, however it moves") {
    memory_budget budget(limit);
    {
        memory_charge first(&budget, held_for::links);
        REQUIRE(first.try_resize(1000));
        memory_charge second(std::move(first));
        memory_charge third(&budget, held_for::answers);
        REQUIRE(third.try_resize(500));
        third = std::move(second);
        CHECK(budget.held() == 1000);
    }
    CHECK(budget.held() == 0);
}

TEST_CASE("copies of a body share its bytes and its charge") {
    memory_budget budget(limit);
    body_builder builder;
    std::string text;
    for (int count = 0; count < 1000; ++count) {
        auto const part = std::to_string(count) + ",";
        text += part;
        REQUIRE(builder.append(part));
    }
    memory_charge charge(&budget, held_for::requests);
    REQUIRE(charge.try_resize(builder.held()));
    auto body = builder.finish(std::move(charge));
    CHECK(builder.size() == 0);
    CHECK(body == text);
    auto copy = body;
    CHECK(copy.view().data() == body.view().data());
    body = {};
    CHECK(budget.held() >= text.size());
    copy = {};
    CHECK(budget.held() == 0);
}

TEST_CASE("a body that was given up takes nothing more") {
    body_builder builder;
    REQUIRE(builder.append("abc"));
    builder.give_up();
    CHECK(builder.held() == 0);
    CHECK_FALSE(builder.append("def"));
    CHECK(builder.finish().empty());
}
