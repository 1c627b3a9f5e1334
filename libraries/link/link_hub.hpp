/// All links of one node: a listener and the connections it accepted or dialled, over nng's TCP streams.
///
/// nng's sockets are not used: REQ resends by itself, and the raw and bus sockets drop silently when a pipe
/// is full (docs/design/links.md). A frame is four bytes of length, most significant first, and one CBOR
/// message.
#pragma once

#include "base/clock.hpp"
#include "base/problem.hpp"
#include "link/link_event.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace caraway {

class link_connection;

/// Thread-safe. Events come on nng's threads; the sink must not block, and says whether it took the event.
class link_hub {
public:
    using event_sink = std::function<bool(link_event&&)>;

    /// `max_message` bounds a frame in bytes.
    link_hub(link_identity own_identity, std::string fleet_secret, std::size_t max_message, event_sink sink);
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

    /// Frees connections that have ended and closes strangers that say nothing; call it from time to time,
    /// never from the sink.
    void reap();

    std::size_t connection_count() const;
    std::uint64_t bytes_sent() const { return this->sent_bytes; }

private:
    friend class link_connection;
    friend struct link_listener;

    void adopt(void* stream);
    bool report(link_event&& event) { return this->sink(std::move(event)); }
    void forget(connection_id id);
    void close_overdue();
    std::shared_ptr<link_connection> find(connection_id id) const;

    link_identity identity;
    std::string secret;
    std::size_t max_frame;
    event_sink sink;
    std::string own_ip;
    std::atomic<std::uint64_t> sent_bytes{0};
    std::unique_ptr<struct link_listener> listener;
    mutable std::mutex mutex;
    connection_id next_accepted{connection_id{1} << 63U};
    std::unordered_map<connection_id, std::shared_ptr<link_connection>> connections;
    std::vector<std::shared_ptr<link_connection>> ended;
    bool closing{false};
    time_point next_overdue_check; ///< Of the thread that reaps.
};

} // namespace caraway
