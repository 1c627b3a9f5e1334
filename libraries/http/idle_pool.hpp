/// The idle connections to a target, and which of them the next request uses.
///
/// The most recently used one is preferred, since the target is least likely to close it. A connection that
/// has been idle for a part of its limit is used before that, so that the connections of a busy time stay
/// open until the next one and need not be opened again.
#pragma once

#include "base/clock.hpp"

#include <deque>
#include <memory>
#include <utility>

namespace caraway {

template <typename Connection>
class idle_pool {
public:
    /// `limit`: how long the target keeps the connection idle.
    void put(std::unique_ptr<Connection> connection, duration limit, time_point now) {
        if (this->entries.size() < max_size) {
            this->entries.push_back({std::move(connection), limit, now});
        }
    }

    /// Returns a connection that the target should still keep open, or null. For a non-idempotent request it
    /// must be further from the target's limit.
    std::unique_ptr<Connection> take(bool idempotent, time_point now) {
        while (!this->entries.empty() && this->entries.front().idle_part(now) >= idempotent_reuse_part) {
            this->entries.pop_front();
        }
        if (this->entries.empty()) {
            return nullptr;
        }
        bool const may_refresh = idempotent && now >= this->no_refresh_until;
        if (may_refresh && this->entries.front().idle_part(now) >= refresh_part) {
            auto connection = std::move(this->entries.front().connection);
            this->entries.pop_front();
            return connection;
        }
        auto const part = idempotent ? idempotent_reuse_part : non_idempotent_reuse_part;
        if (this->entries.back().idle_part(now) >= part) {
            return nullptr; // Idempotent requests may still use it.
        }
        auto connection = std::move(this->entries.back().connection);
        this->entries.pop_back();
        return connection;
    }

    /// The target has dropped a connection before its limit, so that others that were idle may fail as well.
    void note_early_close(time_point now) { this->no_refresh_until = now + early_close_span; }

    bool empty() const { return this->entries.empty(); }

private:
    static constexpr std::size_t max_size = 4096;
    /// Parts of the target's limit up to which a connection is reused. It is smaller for non-idempotent
    /// requests, which can't be retried if the target closes the connection at the same moment.
    static constexpr double idempotent_reuse_part = 0.8;
    static constexpr double non_idempotent_reuse_part = 0.5;
    static constexpr double refresh_part = 0.3;
    static constexpr duration early_close_span{5000};

    struct entry {
        std::unique_ptr<Connection> connection;
        duration limit;
        time_point since;

        double idle_part(time_point now) const { return (now - this->since) / this->limit; }
    };

    std::deque<entry> entries; ///< The newest last.
    time_point no_refresh_until;
};

} // namespace caraway
