/// The right to run one non-idempotent request at most once, bound to one incarnation of one host.
#pragma once

#include "base/problem.hpp"

#include <optional>
#include <string>

namespace caraway {

struct ticket {
    std::string unique_id; ///< 16 random bytes.
    std::string host;
    std::uint64_t incarnation{0};
    std::uint64_t window{0};  ///< The executing host's window when the ticket was made.
    std::uint64_t binding{0}; ///< Hash of organisation and route.

    /// What `binding` must be for a request.
    static std::uint64_t binding_of(std::string const& organisation, std::string const& route);

    /// A new ticket for a host whose incarnation and window are known.
    static ticket create(std::string host, std::uint64_t incarnation, std::uint64_t window,
                         std::uint64_t binding);

    /// Hexadecimal digits that callers pass on unread; authenticated with the fleet secret.
    std::string to_text(std::string const& secret) const;

    /// Fails with ticket_invalid when the text was not made by `to_text` with this secret.
    static result<ticket> parse(std::string const& text, std::string const& secret);

    /// The same for callers that refuse every bad ticket alike; empty when it is bad.
    static std::optional<ticket> try_parse(std::string const& text, std::string const& secret);
};

} // namespace caraway
