/// Events that links report to the node's core.
#pragma once

#include "base/arrival.hpp"
#include "link/handshake.hpp"

#include <cstdint>

namespace caraway {

/// Unique for the lifetime of the process.
using connection_id = std::uint64_t;

enum class link_event_kind : std::uint8_t {
    opened,   ///< The handshake is complete; messages may be sent.
    closed,   ///< No more messages arrive; those in flight are lost.
    received, ///< A message from an authenticated peer.
    refused,  ///< An unauthenticated peer or a malformed message; the connection is closed.
};

struct link_event {
    link_event_kind kind{link_event_kind::closed};
    connection_id connection{0};
    bool dialled{false}; ///< Whether this node opened the connection.
    link_identity peer;
    message content;
    result_code code{result_code::ok}; ///< Reason of a refusal.
    arrival arrived;                   ///< Of a received message.
};

} // namespace caraway
