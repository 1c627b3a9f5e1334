/// What a target states about itself in the header of an answer, whatever the request was.
#pragma once

#include <boost/beast/http/fields.hpp>

#include <optional>

namespace caraway {

struct http_dialect;

/// The load field of an answer: requests at the target when it was written.
struct target_load {
    int running{0};
    int waiting{0};
    int slots{0};
    /// How long work takes at this moment, in percent of the usual time; empty when the field does not say.
    std::optional<double> work_time_percent;
};

struct target_statement {
    /// Requests per second that the target accepts from all hosts together; empty when it states no limit.
    std::optional<double> rate_limit;
    bool has_unreadable_rate_limit{false}; ///< The field is there, but no value of it is a rate.
    bool leaving{false}; ///< The target accepts no new requests, because it is about to end.
    /// How much longer the target is cold, in milliseconds; 0 when it states that it is warm, empty when it
    /// states nothing.
    std::optional<double> cold_ms;
    std::optional<target_load> load; ///< Empty when the field is missing or unreadable.
};

/// Reads the fields that the dialect names. A rate or time is a finite decimal number that is not negative;
/// of several rates the lowest counts. Of several statements about leaving one is enough. A load has three or
/// four figures, none negative; an unreadable fourth one is ignored.
target_statement read_target_statement(http_dialect const& dialect, boost::beast::http::fields const& header);

} // namespace caraway
