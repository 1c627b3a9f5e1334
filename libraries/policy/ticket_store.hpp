/// Deduplicates tickets on the executing host, which remembers them for two windows of its own clock.
#pragma once

#include "base/clock.hpp"
#include "policy/ticket.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace caraway {

/// What to do with a request that carries a ticket.
enum class ticket_verdict : std::uint8_t {
    run,            ///< First use; the ticket is now marked as running.
    wait,           ///< Another copy is running; wait for its answer.
    replay,         ///< Finished; send the stored answer.
    answer_evicted, ///< Finished, but its answer is no longer stored.
    expired,        ///< Older than the remembered windows: it may have run.
    store_full,     ///< No room to remember it, so it must not run.
};

/// `Answer` is the stored answer; its `size()` is in bytes.
template <typename Answer>
class ticket_store {
public:
    explicit ticket_store(time_point started) : window_start(started) {}

    /// The number of the current window, for new tickets.
    std::uint64_t current_window(time_point now) {
        this->advance(now);
        return this->window_number;
    }

    /// Decides what to do with the ticket; on first use marks it as running for `request`.
    ticket_verdict claim(ticket const& value, std::uint64_t request, time_point now) {
        this->advance(now);
        if (value.window + 1 < this->window_number || value.window > this->window_number) {
            return ticket_verdict::expired;
        }
        auto& entries = this->generation(value.window);
        auto const found = entries.find(value.unique_id);
        if (found != entries.end()) {
            if (!found->second.done) {
                return ticket_verdict::wait;
            }
            return found->second.has_answer ? ticket_verdict::replay : ticket_verdict::answer_evicted;
        }
        if (entries.size() >= max_tickets_per_window) {
            return ticket_verdict::store_full;
        }
        entries[value.unique_id] = {.request = request};
        return ticket_verdict::run;
    }

    /// The request that runs or ran with the ticket; 0 when unknown.
    std::uint64_t request_of(ticket const& value) {
        auto const* entry = this->find(value);
        return entry == nullptr ? 0 : entry->request;
    }

    /// Marks the ticket as finished; also called for refused requests, so that a delayed copy can't run.
    void finish(ticket const& value, Answer answer) {
        auto* entry = this->find(value);
        if (entry == nullptr) {
            return;
        }
        entry->done = true;
        entry->has_answer = true;
        this->kept_bytes += answer.size();
        entry->answer = std::move(answer);
        this->kept_answers.push_back(value);
        while (this->kept_bytes > max_kept_bytes && !this->kept_answers.empty()) {
            this->drop_answer(this->kept_answers.front());
            this->kept_answers.pop_front();
        }
    }

    /// The stored answer; null when there is none.
    Answer const* answer(ticket const& value) {
        auto const* entry = this->find(value);
        return entry != nullptr && entry->has_answer ? &entry->answer : nullptr;
    }

    std::size_t size() const { return this->generations[0].size() + this->generations[1].size(); }

    static constexpr duration window_span{60'000};
    static constexpr std::size_t max_tickets_per_window = 50'000;
    static constexpr std::size_t max_kept_bytes = 4'194'304;

private:
    struct entry_state {
        std::uint64_t request{0};
        bool done{false};
        bool has_answer{false};
        Answer answer{};
    };
    using entry_map = std::unordered_map<std::string, entry_state>;

    entry_map& generation(std::uint64_t number) { return this->generations.at(number % 2); }

    entry_state* find(ticket const& value) {
        if (value.window + 1 < this->window_number || value.window > this->window_number) {
            return nullptr;
        }
        auto& entries = this->generation(value.window);
        auto const found = entries.find(value.unique_id);
        return found == entries.end() ? nullptr : &found->second;
    }

    void drop_answer(ticket const& value) {
        auto* entry = this->find(value);
        if (entry != nullptr && entry->has_answer) {
            this->kept_bytes -= entry->answer.size();
            entry->answer = {};
            entry->has_answer = false;
        }
    }

    void advance(time_point now) {
        while (now - this->window_start >= window_span) {
            ++this->window_number;
            this->window_start = this->window_start + window_span;
            this->clear_generation();
        }
    }

    /// Drops the tickets of the window before last, whose slot the new window reuses.
    void clear_generation() {
        auto& entries = this->generation(this->window_number);
        for (auto const& [number, entry] : entries) {
            this->kept_bytes -= entry.has_answer ? entry.answer.size() : 0;
        }
        entries.clear();
        while (!this->kept_answers.empty() && this->kept_answers.front().window + 1 < this->window_number) {
            this->kept_answers.pop_front();
        }
    }

    std::uint64_t window_number{1};
    time_point window_start;
    std::array<entry_map, 2> generations;
    std::deque<ticket> kept_answers; ///< Tickets with stored answers, oldest first.
    std::size_t kept_bytes{0};
};

} // namespace caraway
