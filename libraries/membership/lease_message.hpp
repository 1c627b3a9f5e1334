/// The messages for membership and token leases. Amounts are in millionths of a request, spans in
/// milliseconds.
#pragma once

#include "policy/rate_pool.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace caraway {

/// Requests tokens from a pool and reports the usage of earlier leases; the amount is 0 in a mere report.
struct token_request_message {
    std::string organisation;
    std::uint8_t shard{0};
    token_amount amount{0};
    /// How much of `amount` is for requests that wait already; the pool counts it as consumed at once, so
    /// that its use need not be reported.
    token_amount consumed_at_once{0};
    std::uint64_t sequence{0};
    std::vector<lease_usage> usages;

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->organisation, this->shard, this->amount, this->consumed_at_once, this->sequence,
                this->usages);
    }
};

/// Tokens that the lessee may consume until `valid_ms` after it sent the request.
struct token_grant_message {
    std::string organisation;
    token_amount amount{0};
    token_amount consumed_at_once{0}; ///< The part of `amount` that the pool counts as consumed.
    lease_id lease{0};                ///< Of the rest.
    double valid_ms{0};
    double retry_ms{0}; ///< Time until more may be available; valid if less was granted than requested.
    std::uint64_t sequence{0};
    bool is_owner{false}; ///< Whether the sender owns the pool; without a pool nothing is granted.
    bool is_new{false};   ///< The sender has taken the pool over, empty, within `new_pool_span`.

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->organisation, this->amount, this->consumed_at_once, this->lease, this->valid_ms,
                this->retry_ms, this->sequence, this->is_owner, this->is_new);
    }
};

/// Asks a host of the same failure domain to acknowledge the sender as a member.
struct membership_request_message {
    std::uint64_t sequence{0};
    std::uint64_t incarnation{0};
    std::uint64_t members_digest{0};
    /// The sender no longer owns pools and is to be removed: at once if `sequence` is 0, else as soon as the
    /// list does not hold it.
    bool is_leaving{false};

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->sequence, this->incarnation, this->members_digest, this->is_leaving);
    }
};

/// Acknowledges the receiver as a member; includes the sender's member set if the digests differ.
struct membership_reply_message {
    std::uint64_t sequence{0};
    bool was_member{false}; ///< This incarnation of the receiver was a member before the request.
    bool is_first{false};   ///< The receiver was listed, and the sender has never removed it.
    std::vector<std::string> members;

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->sequence, this->was_member, this->is_first, this->members);
    }
};

using lease_message = std::variant<token_request_message, token_grant_message, membership_request_message,
                                   membership_reply_message>;

struct outgoing_lease_message {
    std::string to;
    lease_message content;
};

} // namespace caraway
