/// The messages between nodes. Every message lists its fields once, in `visit`, for writer and reader alike.
///
/// Times are spans in milliseconds, since the clocks of two hosts can't be compared. Token amounts are in
/// millionths of a request, so that no sum drifts.
#pragma once

#include "base/header_field.hpp"
#include "base/result_code.hpp"
#include "membership/lease_message.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace caraway {

/// First message of the dialling side: who it claims to be, and a nonce for the other to answer.
struct hello_message {
    std::string host;
    std::uint64_t incarnation{0};
    std::string nonce;

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->host, this->incarnation, this->nonce);
    }
};

/// The accepting side proves that it holds the fleet secret, and asks for the same.
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

/// The dialling side's proof; the connection is open for other messages from here on.
struct proof_message {
    std::string proof;

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->proof);
    }
};

/// What a node says of itself on pings, pongs, gossip and answers.
struct host_report {
    std::uint64_t incarnation{0};
    std::uint64_t ticket_window{0};
    std::uint32_t in_flight{0}; ///< Requests at its target and in its queue.
    std::uint32_t limit{0};     ///< Requests its target may run at once.
    bool leaving{false};
    bool serving{false};

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->incarnation, this->ticket_window, this->in_flight, this->limit, this->leaving,
                this->serving);
    }
    bool operator==(host_report const&) const = default;
};

/// Asks for a pong; the sequence matches the two.
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

/// A request on its way to the host that executes it.
struct forward_message {
    std::uint64_t call_id{0}; ///< Unique at the sender.
    std::string request_id;   ///< The caller's, for logs and traces.
    std::string organisation; ///< Empty on routes open to all.
    std::string route;
    std::string method;
    std::string path; ///< With its query.
    header_list headers;
    std::string body;
    double deadline_ms{0}; ///< Time left.
    std::uint8_t priority{0};
    std::uint64_t selection_hash{0}; ///< The same at every hop of one root request.
    std::uint8_t depth{0};           ///< 0 for the call that came in from a caller.
    std::uint8_t allowance{0};       ///< Further attempts that the subtree may make.
    std::string ticket;              ///< Raw ticket; empty for idempotent requests.
    std::string trace_id;            ///< 32 hexadecimal digits.
    std::string parent_span;         ///< 16 hexadecimal digits.
    std::string authority;           ///< Host name that the caller asked for.
    std::string instance;            ///< The start of the target that is meant; empty: whichever runs.
    std::string calling_service;     ///< Service of the host where the request began.
    bool idempotent{true};
    bool holds_work{false}; ///< A call of a target, for a request that is being served.

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->call_id, this->request_id, this->organisation, this->route, this->method, this->path,
                this->headers, this->body, this->deadline_ms, this->priority, this->selection_hash,
                this->depth, this->allowance, this->ticket, this->trace_id, this->parent_span,
                this->authority, this->instance, this->calling_service, this->idempotent, this->holds_work);
    }
};

/// The part of the offered requests that one service admits, for one organisation, by priority class.
struct admission_report {
    std::string service;
    std::array<double, 3> admitted{1, 1, 1};

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->service, this->admitted);
    }
    bool operator==(admission_report const&) const = default;
};

/// The answer to a forward, with what the sender needs to know of the subtree below.
struct answer_message {
    std::uint64_t call_id{0};
    outcome result{outcome::unknown};
    result_code code{result_code::ok};
    std::uint16_t status{0}; ///< The target's HTTP status when it ran.
    header_list headers;
    std::string body;
    double retry_after_ms{0};
    std::uint8_t allowance_left{0};
    std::vector<admission_report> admissions;
    host_report report;

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->call_id, this->result, this->code, this->status, this->headers, this->body,
                this->retry_after_ms, this->allowance_left, this->admissions, this->report);
    }
};

/// The sender no longer wants the answer.
struct cancel_message {
    std::uint64_t call_id{0};

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->call_id);
    }
};

/// Which published documents spread from node to node.
enum class document_kind : std::uint8_t { configuration, hosts };

inline constexpr std::size_t document_kind_count = 2;

struct document_version {
    std::uint64_t revision{0}; ///< 0 when the node holds none.

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->revision);
    }
    bool operator==(document_version const&) const = default;
};

/// A fingerprint of requests in flight at a target's death.
struct suspect_report {
    std::uint64_t fingerprint{0};
    std::uint32_t deaths{0};
    double age_ms{0};

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->fingerprint, this->deaths, this->age_ms);
    }
    bool operator==(suspect_report const&) const = default;
};

/// State that every node learns sooner or later; an answer is wanted when `wants_answer` is set.
struct gossip_message {
    host_report report;
    std::array<document_version, document_kind_count> documents;
    std::vector<suspect_report> suspects;
    bool wants_answer{false};

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->report, this->documents, this->suspects, this->wants_answer);
    }
};

/// Asks for a document's manifest (no names) or for some of its values.
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

/// The position in the variant is the type number on the wire: append only.
using message = std::variant<hello_message, challenge_message, proof_message, ping_message, pong_message,
                             forward_message, answer_message, cancel_message, gossip_message, fetch_message,
                             values_message, token_request_message, token_grant_message,
                             membership_request_message, membership_reply_message>;

} // namespace caraway
