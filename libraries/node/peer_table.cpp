#include "node/peer_table.hpp"

#include "policy/rendezvous.hpp"

#include <algorithm>

namespace caraway {

namespace {

/// A link on which something was sent and nothing came since is pinged after this span.
constexpr duration unanswered_ping_interval{200};
constexpr duration idle_ping_interval{1000};
/// A ping unanswered this long gets a fresh connection tried beside the old one.
constexpr duration suspect_after{400};
/// A ping unanswered this long ends the connection.
constexpr duration silent_after{900};
constexpr duration open_timeout{1500};
constexpr duration first_dial_pause{100};
constexpr duration longest_dial_pause{2000};
constexpr duration want_span{30'000};
/// Up to this size every node keeps a link to every other.
constexpr std::size_t full_mesh_hosts = 48;
constexpr std::size_t near_neighbours = 6;
constexpr std::size_t far_neighbours = 1;

} // namespace

std::set<std::string> choose_neighbours(std::string const& own_host, std::string const& own_domain,
                                        std::vector<listed_host> const& hosts) {
    std::map<std::string, std::vector<std::string>> by_domain;
    for (auto const& entry : hosts) {
        if (entry.host != own_host) {
            by_domain[entry.failure_domain].push_back(entry.host);
        }
    }
    std::set<std::string> chosen;
    for (auto const& [name, names] : by_domain) {
        auto const count = hosts.size() <= full_mesh_hosts
                               ? names.size()
                               : (name == own_domain ? near_neighbours : far_neighbours);
        for (auto& top : rendezvous_top(names, own_host, count)) {
            chosen.insert(std::move(top));
        }
    }
    return chosen;
}

peer_table::peer_table(std::string own_host, std::string own_domain, effects& wanted)
    : host(std::move(own_host)), domain(std::move(own_domain)), out(wanted) {}

void peer_table::update_list(std::vector<listed_host> const& hosts, time_point now) {
    for (auto& [name, peer] : this->peers) {
        peer.info.listed = false;
    }
    for (auto const& entry : hosts) {
        auto& peer = this->peers[entry.host];
        if (peer.info.entry.link != entry.link) {
            for (auto const& link : peer.dialled) {
                this->out.closes.push_back(link.connection);
            }
            peer.next_dial = now;
        }
        peer.info.entry = entry;
        peer.info.listed = true;
    }
    for (auto& [name, peer] : this->peers) {
        if (!peer.info.listed) {
            for (auto const& link : peer.dialled) {
                this->out.closes.push_back(link.connection);
            }
        }
    }
    std::erase_if(this->peers, [](auto const& entry) {
        return !entry.second.info.listed && entry.second.dialled.empty() && entry.second.accepted.empty();
    });
    this->neighbours = choose_neighbours(this->host, this->domain, hosts);
}

bool peer_table::on_opened(link_event const& event, time_point now) {
    auto const& name = event.peer.host;
    if (!event.dialled) {
        // A host that proved the fleet secret is let in before the lagging list names it.
        auto& peer = this->peers[name];
        peer.info.entry.host = name;
        peer.accepted.insert(event.connection);
        this->hosts_by_connection[event.connection] = name;
        this->want(name, now);
        return true;
    }
    auto const expected = this->hosts_by_connection.find(event.connection);
    if (expected == this->hosts_by_connection.end() || expected->second != name) {
        this->out.closes.push_back(event.connection);
        return false;
    }
    auto& peer = this->peers[name];
    for (auto& link : peer.dialled) {
        if (link.connection == event.connection) {
            link.open = true;
            link.heard = now;
        }
    }
    peer.dial_pause = {0};
    if (peer.info.report.incarnation != event.peer.incarnation) {
        peer.info.has_report = false;
        peer.info.said_leaving = false;
        peer.info.report = {.incarnation = event.peer.incarnation};
    }
    return true;
}

std::optional<std::string> peer_table::on_closed(connection_id connection) {
    auto const found = this->hosts_by_connection.find(connection);
    if (found == this->hosts_by_connection.end()) {
        return std::nullopt;
    }
    auto const name = found->second;
    this->hosts_by_connection.erase(found);
    auto const peer = this->peers.find(name);
    if (peer != this->peers.end()) {
        peer->second.accepted.erase(connection);
        std::erase_if(peer->second.dialled,
                      [connection](link_state const& link) { return link.connection == connection; });
    }
    return name;
}

void peer_table::on_heard(std::string const& name, connection_id connection, time_point now) {
    auto const peer = this->peers.find(name);
    if (peer == this->peers.end()) {
        return;
    }
    for (auto& link : peer->second.dialled) {
        if (link.connection == connection) {
            link.received = now;
        }
    }
}

void peer_table::on_ping(std::string const& name, connection_id connection, ping_message const& ping_content,
                         host_report const& own_report, time_point now) {
    this->on_report(name, ping_content.report, now);
    this->out.messages.push_back({connection, pong_message{ping_content.sequence, own_report}});
}

void peer_table::on_pong(std::string const& name, connection_id connection, pong_message const& pong,
                         time_point now) {
    auto const peer = this->peers.find(name);
    if (peer == this->peers.end()) {
        return;
    }
    for (auto& link : peer->second.dialled) {
        if (link.connection == connection && link.sequence == pong.sequence) {
            link.heard = link.last_ping;
            link.pinged = {};
        }
    }
    this->on_report(name, pong.report, now);
}

void peer_table::on_report(std::string const& name, host_report const& report, time_point now) {
    auto const peer = this->peers.find(name);
    if (peer == this->peers.end()) {
        return;
    }
    peer->second.info.report = report;
    peer->second.info.reported = now;
    peer->second.info.has_report = true;
    peer->second.info.said_leaving = report.leaving;
}

void peer_table::dial(std::string const& name, peer_state& peer, time_point now) {
    link_state link{.connection = this->next_connection++, .dialled = now};
    this->hosts_by_connection[link.connection] = name;
    this->out.dials.push_back({link.connection, peer.info.entry.link});
    peer.dialled.push_back(link);
    peer.dial_pause = std::clamp(peer.dial_pause * 2, first_dial_pause, longest_dial_pause);
    peer.next_dial = now + peer.dial_pause;
}

bool peer_table::is_wanted(std::string const& name, peer_state const& peer, time_point now) const {
    bool const reachable = peer.info.listed && !peer.info.entry.link.empty() && name != this->host;
    return reachable && (this->neighbours.contains(name) || now < peer.wanted_until);
}

void peer_table::ping(link_state& link, host_report const& own_report, time_point now) {
    link.sequence = this->next_sequence++;
    link.last_ping = now;
    if (link.pinged.milliseconds == 0) {
        link.pinged = now;
    }
    this->out.messages.push_back({link.connection, ping_message{link.sequence, own_report}});
}

void peer_table::tend_links(std::string const& name, peer_state& peer, host_report const& own_report,
                            time_point now, std::vector<connection_id>& silent) {
    bool healthy = false;
    bool opening = false;
    for (auto& link : peer.dialled) {
        if (!link.open) {
            bool const too_long = now - link.dialled >= open_timeout;
            if (too_long) {
                silent.push_back(link.connection);
            }
            opening = opening || !too_long;
            continue;
        }
        bool const waiting = link.pinged.milliseconds > 0;
        if (waiting && now - link.pinged >= silent_after) {
            silent.push_back(link.connection);
            continue;
        }
        healthy = healthy || !waiting || now - link.pinged < suspect_after;
        bool const is_unanswered = link.last_sent > link.received;
        auto const interval = is_unanswered ? unanswered_ping_interval : idle_ping_interval;
        bool const due = !waiting && now - std::max(link.last_ping, link.received) >= interval;
        if (due) {
            this->ping(link, own_report, now);
        }
    }
    bool const needs_dial = this->is_wanted(name, peer, now) && !healthy && !opening && now >= peer.next_dial;
    if (needs_dial) {
        this->dial(name, peer, now);
    }
    if (!this->is_wanted(name, peer, now)) {
        for (auto const& link : peer.dialled) {
            this->out.closes.push_back(link.connection);
        }
    }
}

std::vector<connection_id> peer_table::tick(host_report const& own_report, time_point now) {
    std::vector<connection_id> silent;
    for (auto& [name, peer] : this->peers) {
        this->tend_links(name, peer, own_report, now, silent);
    }
    for (auto const connection : silent) {
        this->out.closes.push_back(connection);
    }
    return silent;
}

connection_id peer_table::best_connection(peer_state const& peer) const {
    connection_id best = 0;
    double heard = -1;
    for (auto const& link : peer.dialled) {
        if (link.open && link.heard.milliseconds > heard) {
            best = link.connection;
            heard = link.heard.milliseconds;
        }
    }
    return best;
}

bool peer_table::send(std::string const& name, message content, time_point now, connection_id preferred,
                      connection_id* used) {
    auto const found = this->peers.find(name);
    if (found == this->peers.end()) {
        return false;
    }
    auto& peer = found->second;
    bool const preferred_open = preferred != 0 && this->hosts_by_connection.contains(preferred);
    auto connection = preferred_open ? preferred : this->best_connection(peer);
    if (connection == 0 && !peer.accepted.empty()) {
        connection = *peer.accepted.rbegin();
    }
    if (connection == 0) {
        this->want(name, now);
        return false;
    }
    for (auto& link : peer.dialled) {
        if (link.connection == connection) {
            link.last_sent = now;
        }
    }
    this->out.messages.push_back({connection, std::move(content)});
    if (used != nullptr) {
        *used = connection;
    }
    return true;
}

void peer_table::want(std::string const& name, time_point now) {
    auto const found = this->peers.find(name);
    if (found != this->peers.end()) {
        found->second.wanted_until = now + want_span;
    }
}

bool peer_table::is_open(std::string const& name) const {
    auto const found = this->peers.find(name);
    return found != this->peers.end() && this->best_connection(found->second) != 0;
}

peer_info const* peer_table::find(std::string const& name) const {
    auto const found = this->peers.find(name);
    return found == this->peers.end() ? nullptr : &found->second.info;
}

std::vector<candidate_host> peer_table::candidates(std::string const& service, time_point now) {
    std::vector<candidate_host> found;
    for (auto& [name, peer] : this->peers) {
        auto const& info = peer.info;
        bool const eligible = info.listed && info.entry.service == service && !info.entry.leaving &&
                              !info.said_leaving && name != this->host;
        if (!eligible) {
            continue;
        }
        peer.wanted_until = now + want_span;
        if (info.has_report && info.report.serving && this->best_connection(peer) != 0) {
            found.push_back({name, info.entry.failure_domain == this->domain, info.report.in_flight,
                             info.report.limit, now - info.reported});
        }
    }
    return found;
}

std::vector<std::string> peer_table::open_hosts() const {
    std::vector<std::string> names;
    for (auto const& [name, peer] : this->peers) {
        if (this->best_connection(peer) != 0) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> peer_table::listed_hosts() const {
    std::vector<std::string> names;
    for (auto const& [name, peer] : this->peers) {
        if (peer.info.listed) {
            names.push_back(name);
        }
    }
    return names;
}

std::map<std::string, std::set<std::string>> peer_table::domains() const {
    std::map<std::string, std::set<std::string>> result;
    for (auto const& [name, peer] : this->peers) {
        if (peer.info.listed) {
            result[peer.info.entry.failure_domain].insert(name);
        }
    }
    return result;
}

std::size_t peer_table::listed_count() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(this->peers, [](auto const& entry) { return entry.second.info.listed; }));
}

} // namespace caraway
