/// The names that requests and answers carry towards callers and targets.
///
/// The default is the product's own interface (docs/CALLERS.md). A platform with names of its own gives
/// another table; what the fields mean stays the same.
#pragma once

#include <string>
#include <string_view>

namespace caraway {

struct http_dialect {
    // Read from callers.
    std::string request_id{"X-Request-Id"};      ///< Echoed in answers and passed on to targets.
    std::string timeout{"X-Request-Timeout-Ms"}; ///< How long the caller waits, in milliseconds.
    std::string key{"Authorization"};
    std::string key_prefix{"Bearer "}; ///< Stands before the key in its field.

    // Written to targets; an empty name is not sent.
    std::string deadline{"X-Caraway-Deadline-Ms"}; ///< Time left, in milliseconds.
    std::string organisation;
    std::string calling_service; ///< Service of the host where the request began.
    std::string instance;        ///< The start of the target that is meant.

    // Read from targets; an empty name is not looked for.
    std::string not_run;   ///< The target states that it did not run the request.
    std::string integrity; ///< Every answer of a target's own bears it.

    /// Targets echo the request id; an answer with another one belongs to another request.
    bool checks_request_id{false};
    /// Context tokens, tickets, trace context, outcomes and codes have header fields.
    bool has_extension_headers{true};
    /// The host name that the caller asked for is passed on, in place of the target's address.
    bool forwards_authority{false};
    /// Retry-After is written with fractions of a second.
    bool retry_after_has_fractions{false};
    /// 408, 421, 429 and 503 promise that the request has not run and never will.
    bool statuses_mean_not_run{false};

    /// Whether a field stays between one hop's two ends, carries a credential, or is the system's own.
    bool is_stripped(std::string_view name) const;
    /// Whether an answer with this status tells the caller that nothing has run.
    bool means_not_run(unsigned int status) const;
};

} // namespace caraway
