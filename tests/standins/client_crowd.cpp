#include "standins/client_crowd.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace caraway::standins {

namespace {

constexpr int stall_limit_ms = 3000;
/// Small, so that the connections advance side by side.
constexpr std::size_t longest_write = 65'536;

} // namespace

client_crowd::client_crowd(std::string const& address, std::uint16_t port, std::size_t size) {
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &peer.sin_addr);
    for (std::size_t count = 0; count < size; ++count) {
        int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
        if (::connect(socket, reinterpret_cast<sockaddr*>(&peer), sizeof peer) == 0) {
            this->sockets.push_back(socket);
        } else {
            ::close(socket);
        }
    }
}

client_crowd::~client_crowd() {
    this->close();
}

void client_crowd::close() {
    for (int const socket : this->sockets) {
        ::close(socket);
    }
    this->sockets.clear();
}

void client_crowd::send(std::string const& text) {
    std::vector<pollfd> waiting;
    for (int const socket : this->sockets) {
        waiting.push_back({.fd = socket, .events = POLLOUT, .revents = 0});
    }
    std::vector<std::size_t> sent(waiting.size(), 0);
    std::size_t open = waiting.size();
    while (open > 0 && ::poll(waiting.data(), waiting.size(), stall_limit_ms) > 0) {
        for (std::size_t index = 0; index < waiting.size(); ++index) {
            auto& entry = waiting[index];
            if (entry.revents == 0) {
                continue;
            }
            auto const size = std::min(longest_write, text.size() - sent[index]);
            auto const written =
                ::send(entry.fd, text.data() + sent[index], size, MSG_NOSIGNAL | MSG_DONTWAIT);
            bool const is_closed = written <= 0 && errno != EAGAIN;
            sent[index] += written > 0 ? static_cast<std::size_t>(written) : 0;
            if (is_closed || sent[index] == text.size()) {
                entry.fd = -1; // Ignored by poll.
                --open;
            }
        }
    }
}

} // namespace caraway::standins
