/// Tells whether the platform serves this host, from the calls of a source.
#pragma once

#include "base/clock.hpp"

#include <functional>
#include <utility>

namespace caraway {

class service_monitor {
public:
    /// `handler` gets each change; a host counts as served until calls have failed for a while.
    explicit service_monitor(std::function<void(bool is_served)> handler) : on_change(std::move(handler)) {}

    void record_answer() {
        this->failing_since = {};
        this->set_served(true);
    }

    /// `since`: when the call was sent if it got no answer in time, else when it failed. A watch that waits
    /// at the platform may be cut now and then.
    void record_failure(time_point since, time_point now) {
        if (this->failing_since.milliseconds == 0) {
            this->failing_since = since;
        }
        if (now - this->failing_since >= min_outage) {
            this->set_served(false);
        }
    }

    /// Forgets earlier failures when calls begin again after a pause.
    void reset() { this->record_answer(); }

private:
    /// Two more calls are sent within this time after one has failed.
    static constexpr duration min_outage{300};

    void set_served(bool served) {
        if (std::exchange(this->is_served, served) != served && this->on_change) {
            this->on_change(served);
        }
    }

    std::function<void(bool)> on_change;
    time_point failing_since; ///< 0 while calls succeed.
    bool is_served{true};
};

} // namespace caraway
