/// The messages by which rights are counted and lent. Amounts are in millionths of a request, spans in
/// milliseconds.
#pragma once

#include "policy/rate_pool.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace caraway {

/// Asks for part of an organisation's rate, and reports on earlier loans; a pure report asks for nothing.
struct token_request_message {
    std::string organisation;
    std::uint8_t shard{0};
    token_amount amount{0};
    std::uint64_t sequence{0};
    std::vector<lease_usage> usages;

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->organisation, this->shard, this->amount, this->sequence, this->usages);
    }
};

/// Tokens that the asker may spend until `valid_ms` after it asked.
struct token_grant_message {
    std::string organisation;
    token_amount amount{0};
    lease_id lease{0};
    double valid_ms{0};
    double retry_ms{0}; ///< When there may be more; meaningful if less was granted than asked for.
    std::uint64_t sequence{0};

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->organisation, this->amount, this->lease, this->valid_ms, this->retry_ms,
                this->sequence);
    }
};

/// Asks a host of the same failure domain to count the sender among those that may hold rights.
struct membership_request_message {
    std::uint64_t sequence{0};
    std::uint64_t incarnation{0};
    std::uint64_t members_digest{0};
    bool is_leaving{false}; ///< The sender holds no rights any more and need not be counted.

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->sequence, this->incarnation, this->members_digest, this->is_leaving);
    }
};

/// The sender counts the asker; its own counted set comes along when the digests differ.
struct membership_reply_message {
    std::uint64_t sequence{0};
    bool was_member{false}; ///< This incarnation was counted before the ask.
    std::vector<std::string> members;

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->sequence, this->was_member, this->members);
    }
};

using lease_message = std::variant<token_request_message, token_grant_message, membership_request_message,
                                   membership_reply_message>;

/// A message with its receiver.
struct outgoing_lease_message {
    std::string to;
    lease_message content;
};

} // namespace caraway
