/// A check of kept connections before they are used again.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cerrno>
#include <sys/socket.h>

namespace caraway {

/// Whether the peer has neither closed the connection nor sent unsolicited bytes.
inline bool is_idle_socket(boost::asio::ip::tcp::socket& socket) {
    char byte = 0;
    auto const received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace caraway
