/// The fraction of the requests sent to a target that it lately accepted to run. A target may refuse for
/// other reasons than a lack of room, so that admission by room doesn't see it.
#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

class answered_fraction {
public:
    void record(bool accepted, time_point now) {
        double const decay = std::exp(-(std::max(duration{0}, now - this->updated) / time_constant));
        this->total = this->total * decay + 1;
        this->accepted_count = this->accepted_count * decay + (accepted ? 1 : 0);
        this->updated = now;
    }

    /// From 0 to 1; 1 while too little is known.
    double value(time_point now) const {
        double const decay = std::exp(-(std::max(duration{0}, now - this->updated) / time_constant));
        return this->total * decay < min_answers ? 1 : this->accepted_count / this->total;
    }

private:
    static constexpr duration time_constant{400};
    static constexpr double min_answers = 3;

    double total{0};
    double accepted_count{0};
    time_point updated;
};

} // namespace caraway
