/// All links of one node: a listener and the connections it accepted or dialled, over TCP by Boost.Asio.
///
/// nng does not fit (docs/design/links.md): REQ resends by itself, the raw and bus sockets drop silently when
/// a pipe is full, and its streams wake two threads of their own for each message. A frame is four bytes of
/// length, most significant first, and one CBOR message.
#pragma once

#include "base/clock.hpp"
#include "base/problem.hpp"
#include "base/service_loop.hpp"
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

/// Thread-safe. Events come on the loop; the sink must not block, and says whether it took the event.
class link_hub {
public:
    using event_sink = std::function<bool(link_event&&)>;

    /// `max_message` bounds a frame in bytes.
    link_hub(link_identity own_identity, std::string fleet_secret, std::size_t max_message, event_sink sink,
             loop_use used_loop = {});
    ~link_hub();
    link_hub(link_hub const&) = delete;
    link_hub& operator=(link_hub const&) = delete;

    /// Listens at "IP:PORT"; connections are dialled from the same IP number.
    result<void> listen(std::string const& address);

    /// Starts a connection under a number of the caller's; `opened` or `closed` follows. Accepted connections
    /// have numbers with the highest bit set.
    void dial(connection_id id, std::string const& address);

    /// False when the connection is gone or its outgoing bound is reached; then nothing was sent.
    bool send(connection_id id, message const& content);

    void close(connection_id id);

    /// Closes strangers that say nothing; call it from time to time.
    void close_overdue_handshakes();

    std::size_t connection_count() const;
    std::uint64_t bytes_sent() const { return this->sent_bytes; }

private:
    friend class link_connection;

    void accept();
    bool report(link_event&& event) { return this->sink(std::move(event)); }
    void remove_connection(connection_id id);
    std::shared_ptr<link_connection> find_connection(connection_id id) const;

    loop_use loop;
    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    link_identity identity;
    std::string secret;
    std::size_t max_frame;
    event_sink sink;
    boost::asio::ip::address listen_ip;
    std::atomic<std::uint64_t> sent_bytes{0};
    mutable std::mutex mutex;
    connection_id next_accepted_id{connection_id{1} << 63U};
    std::unordered_map<connection_id, std::shared_ptr<link_connection>> connections;
    time_point next_overdue_check; ///< Of the thread that asks for it.
};

} // namespace caraway
