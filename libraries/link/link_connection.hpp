/// One connection of the hub: framing, handshake and bounded outgoing bytes over TCP.
#pragma once

#include "base/clock.hpp"
#include "link/link_hub.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <mutex>

namespace caraway {

/// Sockets and timers are touched on the hub's loop only; `send` may be called from any thread.
class link_connection : public std::enable_shared_from_this<link_connection> {
public:
    link_connection(link_hub& owner, connection_id number, handshake::role role,
                    boost::asio::ip::tcp::socket opened);

    void dial(boost::asio::ip::tcp::endpoint const& place);
    void begin();

    bool send(message const& content);
    void close();
    /// Whether it was opened long ago and has not yet proved who it is.
    bool is_overdue(time_point now) const { return !this->open && now - this->born >= handshake_limit; }

private:
    void read_more();
    void on_read(boost::system::error_code error, std::size_t size);
    void write_more();
    void on_written(boost::system::error_code error);
    bool enqueue(message const& content);
    /// Takes every whole frame out of `incoming`; false when the connection must end.
    bool take_frames();
    bool take_message(std::string_view frame);
    bool take_handshake(message const& content);
    bool refuse(result_code code);
    void end();

    static constexpr duration handshake_limit{3000};

    link_hub& hub; ///< Not touched once the loop has stopped.
    connection_id id;
    time_point born{monotonic_clock::now()};
    handshake greeting;
    bool dialled;
    boost::asio::ip::tcp::socket socket;

    /// Touched on the loop only.
    std::array<char, 16'384> chunk{};
    std::string incoming;
    std::string writing;
    std::atomic<bool> open{false};

    std::mutex mutex; ///< Guards what is below.
    std::string queued;
    bool write_active{false};
    bool ended{false};
};

} // namespace caraway
