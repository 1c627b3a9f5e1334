/// Mutual challenge-response authentication of a link's two peers, each proving that it holds the fleet
/// secret.
#pragma once

#include "base/problem.hpp"
#include "link/message.hpp"

#include <optional>
#include <string>

namespace caraway {

struct link_identity {
    std::string host;
    std::uint64_t incarnation{0};
};

/// One peer's state of the exchange. It does no input or output and has no timeout.
class handshake {
public:
    enum class role : std::uint8_t { dialling, accepting };

    handshake(role own_role, link_identity own_identity, std::string fleet_secret);

    /// The first message, sent by the dialling side.
    message hello() const;

    /// Processes a message of the peer and returns the reply, if any. Fails with link_unauthenticated.
    result<std::optional<message>> receive(message const& received);

    bool is_done() const { return this->done; }
    link_identity const& peer() const { return this->peer_identity; }
    /// Whether the accepting side has stated that it takes long bodies in parts. Versions that don't ignore
    /// the statement, and so do those that dial them.
    bool peer_takes_parts() const;

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
