#include "policy/target_pace.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace caraway {

std::string_view name_of(pace_reason reason) {
    static constexpr std::array<std::string_view, 4> names{"none", "stated_limit", "cold", "learned"};
    return names.at(static_cast<std::size_t>(reason));
}

void target_pace::record_sent(time_point now) {
    this->limit.record_sent(now);
    this->cold.record_sent(now);
}

duration target_pace::time_until_token(std::size_t ahead, time_point now) const {
    return std::max(this->limit.time_until_token(ahead, now), this->cold.time_until_token(ahead, now));
}

double target_pace::pace(time_point now) const {
    double slowest = std::numeric_limits<double>::max();
    slowest = this->limit.is_pacing(now) ? std::min(slowest, this->limit.pace(now)) : slowest;
    slowest = this->cold.is_pacing(now) ? std::min(slowest, this->cold.pace(now)) : slowest;
    if (this->learned.is_learning() && (this->learned.pace() > 0 || !this->is_pacing(now))) {
        slowest = std::min(slowest, this->learned.pace());
    }
    return slowest;
}

pace_reason target_pace::binding_reason(time_point now) const {
    if (this->learned.is_learning() && (!this->is_pacing(now) || this->learned.pace() == this->pace(now))) {
        return pace_reason::learned;
    }
    if (!this->is_pacing(now)) {
        return pace_reason::none;
    }
    bool const is_cold = this->cold.is_pacing(now) &&
                         (!this->limit.is_pacing(now) || this->cold.pace(now) <= this->limit.pace(now));
    return is_cold ? pace_reason::cold : pace_reason::stated_limit;
}

} // namespace caraway
