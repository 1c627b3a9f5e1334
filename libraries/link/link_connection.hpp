/// One TCP connection of a hub, with framing, handshake and a bounded send queue.
#pragma once

#include "base/clock.hpp"
#include "base/memory_budget.hpp"
#include "link/link_hub.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <mutex>

namespace caraway {

/// The socket is accessed only on the hub's loop; `send` and `close` may be called from any thread.
class link_connection : public std::enable_shared_from_this<link_connection> {
public:
    link_connection(link_hub& owner, connection_id number, handshake::role role,
                    boost::asio::ip::tcp::socket opened);

    void dial(boost::asio::ip::tcp::endpoint const& peer_endpoint);
    void start_reading();

    bool send(message const& content);
    void close();
    /// Whether the peer has not authenticated itself within the handshake timeout.
    bool is_handshake_overdue(time_point now) const {
        return !this->authenticated && now - this->created_at >= handshake_timeout;
    }

private:
    void read_more();
    void on_read(boost::system::error_code error, std::size_t size);
    void write_more();
    void on_written(boost::system::error_code error);
    bool enqueue(message const& content);
    /// Processes and removes each complete frame of `incoming`; returns false if the connection must be
    /// closed.
    bool consume_frames();
    bool handle_message(std::string_view frame);
    /// Draws what a message's body takes, or drops it.
    void charge_body(message& content);
    bool handle_handshake_message(message const& content);
    bool report_refused(result_code code);
    void close_now();

    static constexpr duration handshake_timeout{3000};

    link_hub& hub; ///< Not accessed after the loop has stopped.
    connection_id id;
    time_point created_at{monotonic_clock::now()};
    handshake peer_handshake;
    bool dialled;
    boost::asio::ip::tcp::socket socket;

    /// `read_buffer`, `incoming` and `write_buffer` are accessed only on the loop, `authenticated` by any
    /// thread.
    std::array<char, 16'384> read_buffer{};
    std::string incoming;
    std::string write_buffer;
    std::atomic<bool> authenticated{false};

    std::mutex mutex; ///< Guards the members below.
    std::string queued;
    memory_charge queued_charge;
    bool write_active{false};
    bool is_closed{false};
};

} // namespace caraway
