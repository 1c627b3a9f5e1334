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
    void start_reading();

    bool send(message const& content);
    void close();
    /// Whether it was opened long ago and has not yet proved who it is.
    bool is_handshake_overdue(time_point now) const {
        return !this->authenticated && now - this->created_at >= handshake_timeout;
    }

private:
    void read_more();
    void on_read(boost::system::error_code error, std::size_t size);
    void write_more();
    void on_written(boost::system::error_code error);
    bool enqueue(message const& content);
    /// Takes every whole frame out of `incoming`; false when the connection must end.
    bool consume_frames();
    bool handle_message(std::string_view frame);
    bool handle_handshake_message(message const& content);
    bool report_refused(result_code code);
    void close_now();

    static constexpr duration handshake_timeout{3000};

    link_hub& hub; ///< Not touched once the loop has stopped.
    connection_id id;
    time_point created_at{monotonic_clock::now()};
    handshake peer_handshake;
    bool dialled;
    boost::asio::ip::tcp::socket socket;

    /// Touched on the loop only.
    std::array<char, 16'384> read_buffer{};
    std::string incoming;
    std::string write_buffer;
    std::atomic<bool> authenticated{false};

    std::mutex mutex; ///< Guards what is below.
    std::string queued;
    bool write_active{false};
    bool is_closed{false};
};

} // namespace caraway
