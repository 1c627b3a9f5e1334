/// When a message was read, and how long it may have lain unread before.
#pragma once

#include "base/clock.hpp"

#include <algorithm>

namespace caraway {

struct arrival {
    time_point read;
    duration unread; ///< At most; 0 while the loop that read it is on time.

    /// When a sender that waits for `timeout` at most, and still does, has sent it, on average.
    time_point sent(duration timeout) const {
        return this->read - std::min(this->unread, std::max(duration{0}, timeout)) * 0.5;
    }
};

} // namespace caraway
