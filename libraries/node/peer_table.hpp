/// The other hosts: the links to them, the state that they report, and whether their connections are alive.
///
/// A connection is known to be alive only up to the time at which its last answered ping was sent. While a
/// ping stays unanswered, a second connection is dialled; an unresponsive connection is closed.
#pragma once

#include "base/clock.hpp"
#include "node/effects.hpp"
#include "node/host_list.hpp"
#include "policy/target_chooser.hpp"
#include "policy/target_state_table.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace caraway {

struct peer_info {
    listed_host entry;
    target_id target{0}; ///< The incarnation of its target that the host list names.
    bool listed{false};
    host_report report;
    time_point report_time; ///< When `report` was received.
    bool has_report{false};
    bool reports_leaving{false};
    bool lacks_platform{false}; ///< It reads the platform, which does not serve it.
};

/// Whether a request that was sent on the connection, in either direction, awaits its answer.
using connection_usage = std::function<bool(connection_id)>;

class peer_table {
public:
    peer_table(std::string own_host, std::string own_domain, effects& output);

    /// Sets the own region and the regions of failure domains; a domain without one is in the own region.
    void set_regions(std::string const& own_region, std::map<std::string, std::string> const& regions) {
        this->domains_of_other_regions.clear();
        for (auto const& [name, region] : regions) {
            if (region != own_region) {
                this->domains_of_other_regions.insert(name);
            }
        }
    }

    /// Applies a new host list. It decides which hosts may get new work; a connection to a host that is no
    /// longer listed, or has another address, stays open until `maintain_links` finds no work on it.
    void update_hosts(std::vector<listed_host> const& hosts, time_point now);

    /// False when the remote host is not the one that was dialled; the connection is then closed.
    bool on_opened(link_event const& event, time_point now);

    /// Returns the host at the other end of the connection.
    std::optional<std::string> on_closed(connection_id connection);

    /// Records that a message arrived, which postpones the next ping on the connection.
    void on_message_received(std::string const& host, connection_id connection, time_point now);
    void on_ping(std::string const& host, connection_id connection, ping_message const& ping,
                 host_report const& own_report, time_point now);
    void on_pong(std::string const& host, connection_id connection, pong_message const& pong, time_point now);
    void on_report(std::string const& host, host_report const& report, time_point now);
    void set_lacks_platform(std::string const& host, bool lacks_platform);

    /// Dials hosts, sends pings, and closes connections that are unresponsive, or that are no longer needed
    /// and on which `has_work` finds nothing under way. Returns the unresponsive ones.
    std::vector<connection_id> maintain_links(host_report const& own_report, connection_usage const& has_work,
                                              time_point now);

    /// Sends on the preferred connection if it is known, else on the best one; false when there is none. The
    /// connection used is stored in `used`.
    bool send(std::string const& host, message content, time_point now, connection_id preferred = 0,
              connection_id* used = nullptr);

    /// Keeps a link to the host for a while, also when it is no neighbour.
    void request_link(std::string const& host, time_point now);

    /// As `send`, but without a link the message is held for a short time and sent when one opens.
    void send_when_linked(std::string const& host, message content, time_point now);

    /// Whether a connection that was dialled to the host is open.
    bool is_connected(std::string const& host) const;
    peer_info const* find(std::string const& host) const;
    /// The connected hosts that serve the service; requests links to all hosts of the service.
    /// `skips`: hosts that it holds for are left out; a silent host is offered when no other one is.
    std::vector<candidate_host> candidates(std::string const& service, time_point now,
                                           std::function<bool(peer_info const&)> const& skips = {});
    std::vector<std::string> connected_hosts() const;
    std::vector<std::string> listed_hosts() const;
    std::vector<std::string> hosts_in(std::string const& failure_domain) const;
    std::map<std::string, std::set<std::string>> domains() const;
    std::size_t listed_count() const;

private:
    struct link_state {
        connection_id connection{0};
        std::string address; ///< Where it was dialled.
        bool open{false};
        time_point dialled_at;
        time_point answered_ping_sent_at;   ///< When the newest answered ping was sent.
        time_point unanswered_ping_sent_at; ///< When the oldest unanswered ping was sent; 0 when none is.
        std::uint64_t sequence{0};
        time_point last_ping_sent_at;
        time_point last_received_at;     ///< When any message was last received on it.
        time_point last_message_sent_at; ///< When `send` last used it; not set by pings, pongs or the
                                         ///< gossip sent on opening.
    };
    struct held_message {
        message content;
        time_point since;
    };
    struct peer_state {
        std::deque<held_message> held_messages; ///< Sent when the next link opens.
        peer_info info;
        std::vector<link_state> dialled_links;
        std::set<connection_id> accepted_connections;
        time_point link_requested_until;
        time_point next_dial;
        duration dial_backoff{0};
    };

    void send_held_messages(peer_state& peer, connection_id connection, time_point now);
    void dial(std::string const& host, peer_state& peer, time_point now);
    void maintain_peer(std::string const& host, peer_state& peer, host_report const& own_report,
                       time_point now, std::vector<connection_id>& unresponsive);
    void close_unneeded_links(std::string const& host, peer_state const& peer,
                              connection_usage const& has_work, time_point now);
    void ping(link_state& link, host_report const& own_report, time_point now);
    bool needs_link(std::string const& host, peer_state const& peer, time_point now) const;
    /// Whether the link leads to an address that the host list has replaced since.
    static bool is_superseded(peer_state const& peer, link_state const& link);
    connection_id best_connection(peer_state const& peer) const;
    /// Whether no link to the host answers pings in time.
    static bool is_silent(peer_state const& peer, time_point now);

    std::string host;
    std::string domain;
    std::set<std::string> domains_of_other_regions; ///< Empty in a fleet of one region.
    effects& out;
    std::map<std::string, peer_state> peers;
    std::map<connection_id, std::string> hosts_by_connection;
    std::set<std::string> neighbours;
    connection_id next_connection{1};
    std::uint64_t next_sequence{1};
};

/// The rendezvous key and the number of the hosts of a failure domain that read the platform or stand by to.
inline constexpr std::string_view platform_reader_key = "platform";
inline constexpr std::size_t platform_reader_count = 3;
/// The number of those that read while the platform does not serve the readers before them. Only they have
/// links to one another; every host of the domain has one to the first `platform_reader_count`.
inline constexpr std::size_t platform_candidate_count = 5;

/// The hosts to which a node always keeps a link: all of them in a small fleet, else the platform's readers
/// (a host that may have to read itself: all others that may) and a few others in its own failure domain, and
/// a few in each other one.
std::set<std::string> choose_neighbours(std::string const& own_host, std::string const& own_domain,
                                        std::vector<listed_host> const& hosts);

} // namespace caraway
