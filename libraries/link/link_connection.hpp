/// One TCP connection of a hub, with framing, handshake and a bounded send queue.
#pragma once

#include "base/clock.hpp"
#include "base/memory_budget.hpp"
#include "base/message_body.hpp"
#include "link/link_hub.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <mutex>

namespace caraway {

/// A frame is four bytes with its size and then a message. A long body travels ahead of its message, in
/// frames of their own between which other messages may pass; only peers that have announced it get it so.
///
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
    bool enqueue_frame(std::string const& frame);
    /// Tells the peer that long bodies may be sent in parts.
    void announce_parts();
    bool enqueue_with_parts(message const& content, message_body const& body);
    /// Answers for a peer of an older version, which takes no message of this size.
    bool refuse_for_peer(message const& content);
    void start_writing();
    /// The next part of the first long body that is to be sent.
    void prepare_part();
    /// Processes and removes each complete frame of `incoming`; returns false if the connection must be
    /// closed.
    bool consume_frames();
    /// `takes_parts`: the body has come in parts.
    bool handle_message(std::string_view frame, bool takes_parts);
    bool handle_part(std::string_view bytes);
    /// Moves the body that came in parts into its message, or charges the one that came with it.
    void attach_body(message& content, bool takes_parts);
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
    body_builder arriving_body; ///< In parts.
    memory_charge arriving_charge;
    bool arriving_body_was_dropped{false};
    std::string part_header;
    std::string_view part;
    std::string part_message; ///< Behind the last part.
    message_body part_owner;
    std::atomic<bool> authenticated{false};
    std::atomic<bool> peer_takes_parts{false};

    std::mutex mutex; ///< Guards the members below.
    std::string queued;
    memory_charge queued_charge;
    struct long_body {
        message_body body;
        std::size_t sent{0};
        std::string message; ///< Without the body.
    };
    std::deque<long_body> long_bodies;
    bool write_active{false};
    bool is_closed{false};
};

} // namespace caraway
