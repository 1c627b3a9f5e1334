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
struct want_tokens_message {
    std::string organisation;
    std::uint8_t shard{0};
    token_amount amount{0};
    std::uint64_t sequence{0};
    std::vector<lease_usage> uses;

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->organisation, this->shard, this->amount, this->sequence, this->uses);
    }
};

/// Tokens that the asker may spend until `valid_ms` after it asked.
struct grant_message {
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
struct count_me_message {
    std::uint64_t sequence{0};
    std::uint64_t incarnation{0};
    std::uint64_t members_digest{0};
    bool gives_up{false}; ///< The sender holds no rights any more and need not be counted.

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->sequence, this->incarnation, this->members_digest, this->gives_up);
    }
};

/// The sender counts the asker; its own counted set comes along when the digests differ.
struct counted_message {
    std::uint64_t sequence{0};
    bool was_member{false}; ///< This incarnation was counted before the ask.
    std::vector<std::string> members;

    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->sequence, this->was_member, this->members);
    }
};

using rights_message = std::variant<want_tokens_message, grant_message, count_me_message, counted_message>;

/// A message with its receiver.
struct rights_letter {
    std::string to;
    rights_message content;
};

} // namespace caraway
