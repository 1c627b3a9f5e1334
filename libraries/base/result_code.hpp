/// The numbered results that callers, operators and peers see; docs/CODES.md has the same table.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace caraway {

/// What is known about the execution of one copy of a request.
enum class outcome : std::uint8_t {
    ran,           ///< The target ran it; its answer may have been dropped (`answer_dropped`).
    not_run,       ///< It has not run and never will.
    not_forwarded, ///< This copy has not run and never will; an earlier copy may have run.
    unknown,       ///< It may have run; the system will not run it again.
};

/// Numbers are part of the interface: once published, a number keeps its meaning.
enum class result_code : std::uint16_t {
    ok = 0,

    key_missing = 100,
    key_unknown = 101,
    route_unknown = 102,
    request_malformed = 103,
    body_too_large = 104,
    header_too_large = 105,
    ticket_required = 106,
    ticket_invalid = 107,
    context_unknown = 108,

    rate_exceeded = 200,
    overloaded = 201,
    queue_timeout = 202,
    node_busy = 203,
    quarantined = 204,
    retry_budget_spent = 205,

    no_target = 300,
    target_unreachable = 301,
    target_crashed = 302,
    target_malformed = 303,
    peer_lost = 304,
    leaving = 305,
    not_ready = 306,
    incarnation_gone = 307,
    ticket_expired = 308,
    ticket_spent = 309,
    ticket_store_full = 310,
    deadline_passed = 311,
    cancelled = 312,
    answer_dropped = 313,
    target_refused = 314,
    target_replaced = 315,
    answer_lost = 316,
    target_limited = 317,
    domain_evacuated = 318,
    target_cold = 319,
    passed_on = 320,
    host_stopped = 321,

    configuration_syntax = 400,
    configuration_unknown_name = 401,
    configuration_wrong_type = 402,
    configuration_out_of_bounds = 403,
    configuration_duplicate = 404,
    configuration_missing = 405,
    configuration_reference = 406,
    configuration_too_large = 407,
    configuration_unreadable = 408,
    configuration_digest = 409,
    configuration_older = 410,

    link_malformed = 500,
    link_unauthenticated = 501,
    link_too_large = 502,

    io_failed = 600,
};

/// One row of the table that `carawayctl explain` and docs/CODES.md are made from.
struct result_code_entry {
    result_code code;
    std::uint16_t http_status; ///< 0 when callers never see the code.
    std::string_view name;
    std::string_view meaning;
    std::string_view remedy;
};

/// All rows in the order of their numbers.
std::span<result_code_entry const> result_codes();

/// The row of `code`; every enumerator has one.
result_code_entry const& describe(result_code code);

/// Returns nothing when no code has this number.
std::optional<result_code> result_code_from_number(std::uint16_t number);

/// The name as callers see it in the outcome header.
std::string_view name_of(outcome value);

} // namespace caraway
