/// Authorises at most one execution of a non-idempotent request, on one incarnation of one host.
#pragma once

#include "base/problem.hpp"

#include <optional>
#include <string>

namespace caraway {

struct ticket {
    std::string unique_id; ///< 16 random bytes.
    std::string host;
    std::uint64_t incarnation{0};
    std::uint64_t window{0};  ///< The executing host's window at the time of issue.
    std::uint64_t binding{0}; ///< Hash of organisation and route.

    /// The value of `binding` for requests of the organisation and route.
    static std::uint64_t binding_of(std::string const& organisation, std::string const& route);

    /// Issues a ticket with a random identifier.
    static ticket create(std::string host, std::uint64_t incarnation, std::uint64_t window,
                         std::uint64_t binding);

    /// Hexadecimal text, opaque to callers and authenticated with the fleet secret.
    std::string to_text(std::string const& secret) const;

    /// Fails with ticket_invalid when the text was not produced by `to_text` with this secret.
    static result<ticket> parse(std::string const& text, std::string const& secret);

    /// Like `parse`, but empty for an invalid ticket, for callers that don't need the reason.
    static std::optional<ticket> try_parse(std::string const& text, std::string const& secret);
};

} // namespace caraway
