/// Tickets can't be forged or altered, and a store never runs one twice.

#include "policy/ticket.hpp"
#include "policy/ticket_store.hpp"
#include "support/property.hpp"

#include <map>
#include <string>

using namespace caraway;

namespace {

struct text_answer {
    std::string text;
    std::size_t size() const { return this->text.size(); }
};

bool parses(std::string const& text, std::string const& secret) {
    return attempt_or(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(ticket::parse(text, secret));
            return true;
        },
        [](problem const&) { return false; });
}

} // namespace

TEST_CASE("a ticket can be parsed from its text, and a changed text is rejected") {
    auto const made = ticket::create("host-1", 42, 7, ticket::binding_of("org", "route"));
    auto const text = made.to_text("secret");
    REQUIRE(parses(text, "secret"));
    CHECK_FALSE(parses(text, "other"));
    caraway::tests::check_property("tampering", [&] {
        auto changed = text;
        auto const place = *rc::gen::inRange<std::size_t>(0, text.size());
        changed[place] = changed[place] == '0' ? '1' : '0';
        RC_ASSERT(!parses(changed, "secret"));
    });
}

TEST_CASE("a ticket runs at most once, whatever the order and delay of its copies") {
    caraway::tests::check_property("once", [] {
        ticket_store<text_answer> store({0});
        double now = 0;
        std::vector<ticket> tickets;
        std::map<std::string, int> runs;
        auto const steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 40'000)));
        for (auto const& [kind, size] : steps) {
            now += size;
            if (kind == 0 || tickets.empty()) {
                tickets.push_back(ticket::create("h", 1, store.current_window({now}), 0));
                continue;
            }
            auto const& chosen = tickets[static_cast<std::size_t>(size) % tickets.size()];
            if (kind == 3) {
                store.finish(chosen, {std::string(static_cast<std::size_t>(size), 'x')});
            } else if (store.claim(chosen, 1, {now}) == ticket_verdict::run) {
                RC_ASSERT(++runs[chosen.unique_id] == 1);
            }
        }
    });
}

TEST_CASE("a ticket of a refused request is used up") {
    ticket_store<text_answer> store({0});
    auto const made = ticket::create("h", 1, store.current_window({0}), 0);
    REQUIRE(store.claim(made, 1, {0}) == ticket_verdict::run);
    store.finish(made, {"refused"});
    CHECK(store.claim(made, 2, {1}) == ticket_verdict::replay);
    CHECK(store.answer(made)->text == "refused");
}

TEST_CASE("a ticket of an expired window may not run") {
    ticket_store<text_answer> store({0});
    auto const made = ticket::create("h", 1, store.current_window({0}), 0);
    CHECK(store.claim(made, 1, {200'000}) == ticket_verdict::expired);
}
