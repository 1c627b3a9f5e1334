/// Challenge and answer between two ends of a link, each proving that it holds the fleet secret.
#pragma once

#include "base/problem.hpp"
#include "link/message.hpp"

#include <optional>
#include <string>

namespace caraway {

/// Who an end is.
struct link_identity {
    std::string host;
    std::uint64_t incarnation{0};
};

/// One end's side of the exchange; it holds no socket and no time.
class handshake {
public:
    enum class role : std::uint8_t { dialling, accepting };

    handshake(role own_role, link_identity own_identity, std::string fleet_secret);

    /// The dialling side's first message.
    message hello() const;

    /// Takes the other end's message; gives what to send back, if anything. Fails with link_unauthenticated.
    result<std::optional<message>> receive(message const& received);

    bool is_done() const { return this->done; }
    link_identity const& peer() const { return this->peer_identity; }

private:
    std::string proof_for(std::string_view purpose) const;

    role side;
    link_identity identity;
    std::string secret;
    std::string own_nonce;
    std::string peer_nonce;
    link_identity peer_identity;
    bool done{false};
};

} // namespace caraway
