/// What the links report to the duty that decides.
#pragma once

#include "link/handshake.hpp"

#include <cstdint>

namespace caraway {

/// Numbers a connection for the life of the process.
using connection_id = std::uint64_t;

enum class link_event_kind : std::uint8_t {
    opened,   ///< The handshake is done; messages may be sent.
    closed,   ///< Nothing more comes; what was in flight on it is lost.
    received, ///< A message of an authenticated peer.
    refused,  ///< A stranger or a malformed message; the connection is closed.
};

struct link_event {
    link_event_kind kind{link_event_kind::closed};
    connection_id connection{0};
    bool dialled{false}; ///< Whether this node opened the connection.
    link_identity peer;
    message content;
    result_code code{result_code::ok}; ///< Why it was refused.
};

} // namespace caraway
