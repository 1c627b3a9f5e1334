/// All links of one node over TCP, built on Boost.Asio: a listener and the connections it accepted or
/// dialled.
///
/// nng is not suitable (docs/design/links.md): REQ sockets resend on their own, raw and bus sockets silently
/// drop messages when a pipe is full, and streams wake two extra threads for each message. A frame is a
/// four-byte big-endian length and one CBOR message.
#pragma once

#include "base/clock.hpp"
#include "base/event_loop_thread.hpp"
#include "base/problem.hpp"
#include "link/link_event.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace caraway {

class link_connection;

/// Of bodies that are sent in parts.
struct link_body_limits {
    std::size_t max_body{0};
    /// What arriving bodies and unsent messages take is drawn from it; without one it is not bounded.
    memory_budget* memory{nullptr};
};

/// Thread-safe. The event sink is called on the loop, must not block and returns whether it accepted the
/// event.
class link_hub {
public:
    using event_sink = std::function<bool(link_event&&)>;

    /// `max_message` is the greatest size of a frame's message in bytes.
    link_hub(link_identity own_identity, std::string fleet_secret, std::size_t max_message, event_sink sink,
             event_loop_handle used_loop = {}, link_body_limits bodies = {});
    ~link_hub();
    link_hub(link_hub const&) = delete;
    link_hub& operator=(link_hub const&) = delete;

    /// Listens at "IP:PORT"; connections are dialled from the same IP address.
    result<void> listen(std::string const& address);

    /// Opens a connection with an id that the caller chooses; an `opened` or `closed` event follows. Ids of
    /// accepted connections have the highest bit set.
    void dial(connection_id id, std::string const& address);

    /// Returns false, without sending, if the connection is not open, its send queue is full or the message
    /// is over the size limit.
    bool send(connection_id id, message const& content);

    void close(connection_id id);

    /// Closes connections whose handshake has timed out; must be called periodically.
    void close_overdue_handshakes();

    std::size_t connection_count() const;
    std::uint64_t bytes_sent() const { return this->sent_bytes; }

private:
    friend class link_connection;

    void accept();
    bool report(link_event&& event) { return this->sink(std::move(event)); }
    void remove_connection(connection_id id);
    std::shared_ptr<link_connection> find_connection(connection_id id) const;

    event_loop_handle loop;
    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    link_identity identity;
    std::string secret;
    std::size_t max_message_bytes;
    link_body_limits body_limits;
    event_sink sink;
    boost::asio::ip::address listen_ip;
    std::atomic<std::uint64_t> sent_bytes{0};
    mutable std::mutex mutex;
    connection_id next_accepted_id{connection_id{1} << 63U};
    std::unordered_map<connection_id, std::shared_ptr<link_connection>> connections;
    time_point next_overdue_check; ///< Accessed only by the thread that calls `close_overdue_handshakes`.
};

} // namespace caraway
