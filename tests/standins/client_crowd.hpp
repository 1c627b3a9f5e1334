/// Many connections to one address that all send the same bytes and read nothing; test code only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace caraway::standins {

class client_crowd {
public:
    /// Opens all connections; one that is refused counts as closed.
    client_crowd(std::string const& address, std::uint16_t port, std::size_t size);
    ~client_crowd();
    client_crowd(client_crowd const&) = delete;
    client_crowd& operator=(client_crowd const&) = delete;

    /// Writes the text on each connection, on all at once. Returns when each has sent it or was closed by the
    /// peer, or when nobody could send anything for a while.
    void send(std::string const& text);
    void close();

private:
    std::vector<int> sockets;
};

} // namespace caraway::standins
