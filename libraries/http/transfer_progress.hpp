/// How fast one message passes over a connection.
#pragma once

#include "base/clock.hpp"

#include <cstddef>

namespace caraway {

class transfer_progress {
public:
    explicit transfer_progress(time_point now = {}) : began(now), latest(now) {}

    void record(std::size_t bytes, time_point now) {
        this->transferred += bytes;
        this->latest = now;
    }
    time_point last_progress() const { return this->latest; }

    /// Whether the peer has stopped, or keeps a message for longer than its bytes explain. A connection may
    /// be as slow as that, but not while others lack the memory or the place that it takes.
    bool is_too_slow(time_point now) const {
        auto const age = now - this->began;
        return now - this->latest >= patience ||
               (age >= patience &&
                static_cast<double>(this->transferred) < age.seconds() * min_bytes_per_second);
    }

private:
    /// Covers a lost packet that is sent again.
    static constexpr duration patience{2000};
    static constexpr double min_bytes_per_second = 16'384;

    time_point began;
    time_point latest;
    std::size_t transferred{0};
};

} // namespace caraway
