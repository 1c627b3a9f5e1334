/// Bytes without end, in each part of an HTTP message, and a writer that counts how many a peer takes.
#pragma once

#include <arpa/inet.h>
#include <cstddef>
#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <vector>

namespace caraway::tests {

struct endless_stream {
    std::string name;
    std::string head;   ///< Sent once.
    std::string filler; ///< Sent again and again.
};

/// More than kernel buffers and a message's own limits account for is held by the reader.
constexpr std::size_t max_bytes_taken = 24U << 20U;
/// Where the writer stops if the peer takes everything.
constexpr std::size_t max_bytes_written = 96U << 20U;
constexpr std::size_t filler_bytes = 16'384;

/// The endless forms that a request and an answer share, behind their first line.
inline std::vector<endless_stream> endless_messages(std::string const& first_line) {
    std::string const text(filler_bytes, 'a');
    auto const chunked = first_line + "Transfer-Encoding: chunked\r\n\r\n";
    return {{"no message", "", text},
            {"one field", first_line + "X-Long: ", text},
            {"fields", first_line, "X-Field: " + text.substr(0, 100) + "\r\n"},
            {"line before a chunk", chunked + "5;", text},
            {"chunks", chunked, "4000\r\n" + text + "\r\n"},
            {"trailer", chunked + "0\r\n", "X-Field: " + text.substr(0, 100) + "\r\n"},
            {"one trailer field", chunked + "0\r\nX-Long: ", text}};
}

/// A connection to a port of 127.0.0.1.
class raw_connection {
public:
    explicit raw_connection(std::uint16_t port) {
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(port);
        peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        this->is_open = ::connect(this->socket, reinterpret_cast<sockaddr*>(&peer), sizeof peer) == 0;
    }
    ~raw_connection() { ::close(this->socket); }
    raw_connection(raw_connection const&) = delete;
    raw_connection& operator=(raw_connection const&) = delete;

    int socket{::socket(AF_INET, SOCK_STREAM, 0)};
    bool is_open{false};
};

/// Writes the stream until the peer ends the connection or takes nothing for three seconds. Returns how many
/// bytes were written.
inline std::size_t write_endlessly(int socket, endless_stream const& stream) {
    timeval const limit{.tv_sec = 3, .tv_usec = 0};
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    std::size_t written = 0;
    auto const write = [&](std::string const& bytes) {
        auto const sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        written += sent > 0 ? static_cast<std::size_t>(sent) : 0;
        return sent == static_cast<ssize_t>(bytes.size());
    };
    bool is_taken = stream.head.empty() || write(stream.head);
    while (is_taken && written < max_bytes_written) {
        is_taken = write(stream.filler);
    }
    return written;
}

} // namespace caraway::tests
