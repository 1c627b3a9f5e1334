/// Messages between nodes. Every message lists its fields once, in `visit`, for both encoding and decoding.
///
/// Times are durations in milliseconds, since the clocks of two hosts can't be compared. Token amounts are
/// integers in millionths of a request, so that sums have no rounding error.
#pragma once

#include "base/header_field.hpp"
#include "base/message_body.hpp"
#include "base/result_code.hpp"
#include "membership/lease_message.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace caraway {

/// First message of the dialling side: its claimed identity, and a nonce for the peer's proof.
struct hello_message {
    std::string host;
    std::uint64_t incarnation{0};
    std::string nonce;

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->host, this->incarnation, this->nonce);
    }
};

/// The accepting side proves that it holds the fleet secret, and requests the same proof.
struct challenge_message {
    std::string host;
    std::uint64_t incarnation{0};
    std::string nonce;
    std::string proof;

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->host, this->incarnation, this->nonce, this->proof);
    }
};

/// The dialling side's proof. Other messages may follow on the connection from here on.
struct proof_message {
    std::string proof;

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->proof);
    }
};

/// A node's report on itself in pings, pongs, gossip and answers.
struct host_report {
    std::uint64_t incarnation{0};
    std::uint64_t ticket_window{0};
    std::uint32_t in_flight{0}; ///< Requests running at its target or waiting in its queue.
    std::uint32_t limit{0};     ///< Requests its target may run concurrently.
    bool leaving{false};
    bool serving{false};
    /// Identifies the incarnation of its target that the fields below describe; 0 while the node does not
    /// know what its target states.
    std::uint32_t target{0};
    bool target_is_limited{false};
    std::uint32_t target_rate_limit{0}; ///< In thousandths of a request per second.
    bool target_is_leaving{false};      ///< The target has stated that it is about to end.
    std::uint32_t target_senders{0};    ///< Hosts that sent requests for its target lately.
    std::uint32_t target_cold_ms{0};    ///< How much longer the target is cold; 0 when it is warm.
    /// How long work takes at the target at this moment, in percent of the usual time.
    std::uint32_t target_work_time_percent{100};
    /// How long a new request waits for a slot of the target, in milliseconds.
    std::uint32_t expected_wait_ms{0};
    std::uint32_t target_request_ms{0}; ///< How long a request holds a slot of the target; 0 if unknown.
    std::uint32_t target_failure_permille{0}; ///< Failed answers among its latest, in thousandths.

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->incarnation, this->ticket_window, this->in_flight, this->limit, this->leaving,
                this->serving, this->target, this->target_is_limited, this->target_rate_limit,
                this->target_is_leaving, this->target_senders, this->target_cold_ms,
                this->target_work_time_percent, this->expected_wait_ms, this->target_request_ms,
                this->target_failure_permille);
    }
    bool operator==(host_report const&) const = default;
};

/// Requests a pong with the same sequence number.
struct ping_message {
    std::uint64_t sequence{0};
    host_report report;

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->sequence, this->report);
    }
};

struct pong_message {
    std::uint64_t sequence{0};
    host_report report;

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->sequence, this->report);
    }
};

/// A request that is forwarded to the host that executes it.
struct forward_message {
    std::uint64_t call_id{0}; ///< Unique at the sender.
    std::string request_id;   ///< Set by the caller, for logs and traces.
    std::string organisation; ///< Empty on routes that need no key.
    std::string route;
    std::string method;
    std::string path; ///< Includes the query.
    header_list headers;
    message_body body;
    double deadline_ms{0}; ///< Remaining time.
    std::uint8_t priority{0};
    /// Compared with the admission fraction; the same at every hop of one root request.
    std::uint64_t selection_hash{0};
    std::uint8_t depth{0};       ///< 0 for a call that comes from a caller.
    std::uint8_t allowance{0};   ///< Further attempts that the call subtree may make.
    std::string ticket;          ///< Ticket in its raw form; empty for idempotent requests.
    std::string trace_id;        ///< 32 hexadecimal digits.
    std::string parent_span;     ///< 16 hexadecimal digits.
    std::string authority;       ///< Value of the caller's Host field.
    std::string instance;        ///< Incarnation of the target that the request is meant for; empty for any.
    std::string calling_service; ///< Service of the host at which the request originated.
    bool idempotent{true};
    bool is_nested_call{false}; ///< Made by a target while it serves another request.
    /// The organisation and priority class of the root requests that `offered_weight` is charged to. For a
    /// call of a target these may be others than the one that made it; they decide nothing about the call.
    std::string charged_organisation;
    std::uint8_t charged_priority{0};
    /// Offered requests that this one tells of: for one of a caller, the reciprocal of the fraction admitted;
    /// for a call of a target, all calls of runs that began, and 0 when others have told of them.
    double offered_weight{1};
    /// The host may refuse the request as `passed_on`, before it runs, when the request would wait longer
    /// than this: the sender then knows a better host. In milliseconds; 0 if it must not be passed on.
    std::uint32_t pass_on_above_ms{0};
    /// Not sent: this host had no memory for the body when it arrived.
    bool body_was_dropped{false};

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->call_id, this->request_id, this->organisation, this->route, this->method, this->path,
                this->headers, this->body, this->deadline_ms, this->priority, this->selection_hash,
                this->depth, this->allowance, this->ticket, this->trace_id, this->parent_span,
                this->authority, this->instance, this->calling_service, this->idempotent,
                this->is_nested_call, this->charged_organisation, this->charged_priority,
                this->offered_weight, this->pass_on_above_ms);
    }
};

/// Fraction of the offered requests of one organisation that a service admits, by priority class.
struct organisation_report {
    std::string organisation;
    std::array<double, 3> admission_fractions{1, 1, 1};

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->organisation, this->admission_fractions);
    }
    bool operator==(organisation_report const&) const = default;
};

/// Fraction of the offered requests that one service admits, by priority class: for the organisation of the
/// request, or by cost for those that are not named.
struct admission_report {
    std::string service;
    std::array<double, 3> admission_fractions{1, 1, 1};
    double age_ms{0};            ///< Time since a host of the service computed them.
    double answered_fraction{1}; ///< Of the requests sent to its target, those that the target accepted.
    std::vector<organisation_report> organisations; ///< By cost only.

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->service, this->admission_fractions, this->age_ms, this->answered_fraction,
                this->organisations);
    }
    bool operator==(admission_report const&) const = default;
};

/// Time that one request of a route takes at the targets of one service, with all calls below it.
struct service_cost {
    std::string service;
    double milliseconds{0};

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->service, this->milliseconds);
    }
    bool operator==(service_cost const&) const = default;
};

/// Answer to a forwarded request, with the state of the call subtree that the sender needs.
struct answer_message {
    std::uint64_t call_id{0};
    outcome result{outcome::unknown};
    result_code code{result_code::ok};
    std::uint16_t status{0}; ///< HTTP status of the target if the request ran.
    header_list headers;
    message_body body;
    double retry_after_ms{0};
    std::uint8_t allowance_left{0};
    std::vector<admission_report> admissions;
    host_report report;
    std::vector<service_cost> costs; ///< Of one request of the call's route; empty if not known.
    double held_ms{0};               ///< From the arrival of the request at the sender to this answer.
    bool body_was_dropped{false};    ///< As in `forward_message`.

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->call_id, this->result, this->code, this->status, this->headers, this->body,
                this->retry_after_ms, this->allowance_left, this->admissions, this->report, this->costs,
                this->held_ms);
    }
};

/// The sender no longer needs the answer to the call.
struct cancel_message {
    std::uint64_t call_id{0};

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->call_id);
    }
};

/// Published documents that are distributed from node to node.
enum class document_kind : std::uint8_t { configuration, hosts };

inline constexpr std::size_t document_kind_count = 2;

struct document_version {
    std::uint64_t revision{0}; ///< 0 if the node holds no revision.

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->revision);
    }
    bool operator==(document_version const&) const = default;
};

/// Fingerprint of requests that were in flight when a target crashed. With `platform_fingerprint` and no
/// crash, it says instead that the sender reads the platform, which last served it so long ago.
struct suspect_report {
    std::uint64_t fingerprint{0};
    std::uint32_t crash_count{0};
    double age_ms{0}; ///< Time since the last of these crashes.

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->fingerprint, this->crash_count, this->age_ms);
    }
    bool operator==(suspect_report const&) const = default;
};

/// Hosts that do not know it ignore an entry without a crash, so that it needs no new message format.
inline constexpr std::uint64_t platform_fingerprint = 0;

/// What the sender knows of a target that states a limit, or that it is leaving or cold.
struct target_report {
    std::uint32_t target{0};
    bool is_limited{false};
    bool is_leaving{false};
    std::uint32_t rate_limit{0}; ///< In thousandths of a request per second.
    double age_ms{0};            ///< Time since the host beside the target reported it.
    double cold_ms{0};           ///< How much longer the target was cold when that was reported.

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->target, this->is_limited, this->is_leaving, this->rate_limit, this->age_ms,
                this->cold_ms);
    }
    bool operator==(target_report const&) const = default;
};

/// State that spreads to every node eventually. `wants_answer` requests the receiver's state in return.
struct gossip_message {
    host_report report;
    std::array<document_version, document_kind_count> documents;
    std::vector<suspect_report> suspects;
    std::vector<target_report> targets;
    bool wants_answer{false};

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->report, this->documents, this->suspects, this->targets, this->wants_answer);
    }
};

/// Requests the manifest of a document, if `names` is empty, or else the named values.
struct fetch_message {
    document_kind document{document_kind::configuration};
    std::uint64_t revision{0};
    std::vector<std::string> names;

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->document, this->revision, this->names);
    }
};

struct document_value {
    std::string name;
    std::string text;

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->name, this->text);
    }
};

struct values_message {
    document_kind document{document_kind::configuration};
    std::uint64_t revision{0};
    std::string manifest;
    std::vector<document_value> values;

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->document, this->revision, this->manifest, this->values);
    }
};

/// The index in the variant is the type number on the wire: new messages are only appended.
using message = std::variant<hello_message, challenge_message, proof_message, ping_message, pong_message,
                             forward_message, answer_message, cancel_message, gossip_message, fetch_message,
                             values_message, token_request_message, token_grant_message,
                             membership_request_message, membership_reply_message>;

} // namespace caraway
