#include "node/peer_table.hpp"

#include "policy/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace caraway {

namespace {

/// Ping interval of a link on which nothing was received since the last message was sent.
constexpr duration unanswered_message_ping_interval{200};
constexpr duration idle_ping_interval{1000};
/// The same for a link to a host that is not a neighbour. In a large fleet nearly every host has one to every
/// other, so that these pings would cost more than the requests.
constexpr duration rare_ping_interval{3000};
/// When a ping stays unanswered for this long, a second connection is dialled.
constexpr duration suspect_timeout{400};
/// When a ping stays unanswered for this long, new requests go to other hosts of the service if there are
/// any.
constexpr duration silent_host_timeout{150};
/// When a ping stays unanswered for this long, the connection is closed.
constexpr duration ping_timeout{900};
constexpr duration dial_timeout{1500};
constexpr duration min_dial_backoff{100};
constexpr duration max_dial_backoff{2000};
constexpr duration link_request_lifetime{30'000};
/// A held message that is older than this is discarded: its sender has asked another host by then.
constexpr duration held_message_lifetime{200};
constexpr std::size_t max_held_messages = 64;
constexpr double permille = 1000;
/// Up to this fleet size every node keeps a link to every other one.
constexpr std::size_t max_full_mesh_hosts = 48;
constexpr std::size_t neighbours_in_own_domain = 6;
constexpr std::size_t neighbours_per_other_domain = 1;

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
    for (auto& [name, names] : by_domain) {
        auto const count =
            hosts.size() <= max_full_mesh_hosts
                ? names.size()
                : (name == own_domain ? neighbours_in_own_domain : neighbours_per_other_domain);
        for (auto& top : rendezvous_top(names, own_host, count)) {
            chosen.insert(std::move(top));
        }
        if (name == own_domain) {
            // News of the platform, and the loss of a reader, must reach every node of the domain directly.
            names.push_back(own_host);
            auto readers = rendezvous_top(names, platform_reader_key, platform_candidate_count);
            bool const is_candidate = std::ranges::find(readers, own_host) != readers.end();
            if (!is_candidate) {
                readers.resize(std::min(readers.size(), platform_reader_count));
            }
            chosen.insert(readers.begin(), readers.end());
        }
    }
    chosen.erase(own_host);
    return chosen;
}

peer_table::peer_table(std::string own_host, std::string own_domain, effects& output)
    : host(std::move(own_host)), domain(std::move(own_domain)), out(output) {}

void peer_table::update_hosts(std::vector<listed_host> const& hosts, time_point now) {
    for (auto& [name, peer] : this->peers) {
        peer.info.listed = false;
    }
    for (auto const& entry : hosts) {
        auto& peer = this->peers[entry.host];
        if (peer.info.entry.link != entry.link) {
            peer.next_dial = now;
        }
        peer.info.entry = entry;
        peer.info.target = make_target_id(entry.host, entry.instance, entry.started_ms);
        peer.info.listed = true;
    }
    std::erase_if(this->peers, [](auto const& entry) {
        return !entry.second.info.listed && entry.second.dialled_links.empty() &&
               entry.second.accepted_connections.empty();
    });
    this->neighbours = choose_neighbours(this->host, this->domain, hosts);
}

bool peer_table::on_opened(link_event const& event, time_point now) {
    auto const& name = event.peer.host;
    if (!event.dialled) {
        // A host that has proved that it holds the fleet secret is accepted before it is listed, because the
        // host list may lag behind.
        auto& peer = this->peers[name];
        peer.info.entry.host = name;
        peer.accepted_connections.insert(event.connection);
        this->hosts_by_connection[event.connection] = name;
        this->request_link(name, now);
        this->send_held_messages(peer, event.connection, now);
        return true;
    }
    auto const expected = this->hosts_by_connection.find(event.connection);
    if (expected == this->hosts_by_connection.end() || expected->second != name) {
        this->out.closes.push_back(event.connection);
        return false;
    }
    auto& peer = this->peers[name];
    for (auto& link : peer.dialled_links) {
        if (link.connection == event.connection) {
            link.open = true;
            link.answered_ping_sent_at = now;
        }
    }
    peer.dial_backoff = {0};
    if (peer.info.report.incarnation != event.peer.incarnation) {
        peer.info.has_report = false;
        peer.info.reports_leaving = false;
        peer.info.lacks_platform = false;
        peer.info.report = {.incarnation = event.peer.incarnation};
    }
    this->send_held_messages(peer, event.connection, now);
    return true;
}

void peer_table::send_held_messages(peer_state& peer, connection_id connection, time_point now) {
    for (auto& held : std::exchange(peer.held_messages, {})) {
        if (now - held.since < held_message_lifetime) {
            this->out.messages.push_back({connection, std::move(held.content)});
        }
    }
}

void peer_table::send_when_linked(std::string const& name, message content, time_point now) {
    auto const found = this->peers.find(name);
    if (found == this->peers.end()) {
        return;
    }
    auto& peer = found->second;
    bool const has_link = this->best_connection(peer) != 0 || !peer.accepted_connections.empty();
    if (has_link) {
        this->send(name, std::move(content), now);
        return;
    }
    this->request_link(name, now);
    bool const is_dialling = !peer.dialled_links.empty();
    if (!is_dialling && this->needs_link(name, peer, now) && now >= peer.next_dial) {
        this->dial(name, peer, now);
    }
    peer.held_messages.push_back({std::move(content), now});
    if (peer.held_messages.size() > max_held_messages) {
        peer.held_messages.pop_front();
    }
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
        peer->second.accepted_connections.erase(connection);
        std::erase_if(peer->second.dialled_links,
                      [connection](link_state const& link) { return link.connection == connection; });
    }
    return name;
}

void peer_table::on_message_received(std::string const& name, connection_id connection, time_point now) {
    auto const peer = this->peers.find(name);
    if (peer == this->peers.end()) {
        return;
    }
    for (auto& link : peer->second.dialled_links) {
        if (link.connection == connection) {
            link.last_received_at = now;
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
    for (auto& link : peer->second.dialled_links) {
        if (link.connection == connection && link.sequence == pong.sequence) {
            link.answered_ping_sent_at = link.last_ping_sent_at;
            link.unanswered_ping_sent_at = {};
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
    peer->second.info.report_time = now;
    peer->second.info.has_report = true;
    peer->second.info.reports_leaving = report.leaving;
}

void peer_table::set_lacks_platform(std::string const& name, bool lacks_platform) {
    auto const peer = this->peers.find(name);
    if (peer != this->peers.end()) {
        peer->second.info.lacks_platform = lacks_platform;
    }
}

void peer_table::dial(std::string const& name, peer_state& peer, time_point now) {
    link_state link{
        .connection = this->next_connection++, .address = peer.info.entry.link, .dialled_at = now};
    this->hosts_by_connection[link.connection] = name;
    this->out.dials.push_back({link.connection, peer.info.entry.link});
    peer.dialled_links.push_back(link);
    peer.dial_backoff = std::clamp(peer.dial_backoff * 2, min_dial_backoff, max_dial_backoff);
    peer.next_dial = now + peer.dial_backoff;
}

bool peer_table::needs_link(std::string const& name, peer_state const& peer, time_point now) const {
    bool const reachable = peer.info.listed && !peer.info.entry.link.empty() && name != this->host;
    return reachable && (this->neighbours.contains(name) || now < peer.link_requested_until);
}

void peer_table::ping(link_state& link, host_report const& own_report, time_point now) {
    link.sequence = this->next_sequence++;
    link.last_ping_sent_at = now;
    if (link.unanswered_ping_sent_at.milliseconds == 0) {
        link.unanswered_ping_sent_at = now;
    }
    this->out.messages.push_back({link.connection, ping_message{link.sequence, own_report}});
}

void peer_table::maintain_peer(std::string const& name, peer_state& peer, host_report const& own_report,
                               time_point now, std::vector<connection_id>& unresponsive) {
    bool has_healthy_link = false;
    bool has_opening_link = false;
    for (auto& link : peer.dialled_links) {
        if (!link.open) {
            bool const too_long = now - link.dialled_at >= dial_timeout;
            if (too_long) {
                unresponsive.push_back(link.connection);
            }
            has_opening_link = has_opening_link || (!too_long && !is_superseded(peer, link));
            continue;
        }
        bool const awaits_pong = link.unanswered_ping_sent_at.milliseconds > 0;
        if (awaits_pong && now - link.unanswered_ping_sent_at >= ping_timeout) {
            unresponsive.push_back(link.connection);
            continue;
        }
        bool const is_healthy = !awaits_pong || now - link.unanswered_ping_sent_at < suspect_timeout;
        has_healthy_link = has_healthy_link || (is_healthy && !is_superseded(peer, link));
        bool const is_unanswered = link.last_message_sent_at > link.last_received_at;
        auto const idle_interval = this->neighbours.contains(name) ? idle_ping_interval : rare_ping_interval;
        auto const interval = is_unanswered ? unanswered_message_ping_interval : idle_interval;
        bool const ping_is_due =
            !awaits_pong && now - std::max(link.last_ping_sent_at, link.last_received_at) >= interval;
        if (ping_is_due) {
            this->ping(link, own_report, now);
        }
    }
    bool const needs_dial =
        this->needs_link(name, peer, now) && !has_healthy_link && !has_opening_link && now >= peer.next_dial;
    if (needs_dial) {
        this->dial(name, peer, now);
    }
}

void peer_table::close_unneeded_links(std::string const& name, peer_state const& peer,
                                      connection_usage const& has_work, time_point now) {
    bool const needs_host = this->needs_link(name, peer, now);
    for (auto const& link : peer.dialled_links) {
        bool const is_needed = needs_host && !is_superseded(peer, link);
        if (!is_needed && !has_work(link.connection)) {
            this->out.closes.push_back(link.connection);
        }
    }
}

std::vector<connection_id> peer_table::maintain_links(host_report const& own_report,
                                                      connection_usage const& has_work, time_point now) {
    std::vector<connection_id> unresponsive;
    for (auto& [name, peer] : this->peers) {
        this->maintain_peer(name, peer, own_report, now, unresponsive);
        this->close_unneeded_links(name, peer, has_work, now);
    }
    for (auto const connection : unresponsive) {
        this->out.closes.push_back(connection);
    }
    return unresponsive;
}

bool peer_table::is_superseded(peer_state const& peer, link_state const& link) {
    return link.address != peer.info.entry.link;
}

connection_id peer_table::best_connection(peer_state const& peer) const {
    connection_id best = 0;
    double newest = -1;
    for (auto const& link : peer.dialled_links) {
        bool const is_usable = link.open && !is_superseded(peer, link);
        if (is_usable && link.answered_ping_sent_at.milliseconds > newest) {
            best = link.connection;
            newest = link.answered_ping_sent_at.milliseconds;
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
    if (connection == 0 && !peer.accepted_connections.empty()) {
        connection = *peer.accepted_connections.rbegin();
    }
    if (connection == 0) {
        this->request_link(name, now);
        return false;
    }
    for (auto& link : peer.dialled_links) {
        if (link.connection == connection) {
            link.last_message_sent_at = now;
        }
    }
    this->out.messages.push_back({connection, std::move(content)});
    if (used != nullptr) {
        *used = connection;
    }
    return true;
}

void peer_table::request_link(std::string const& name, time_point now) {
    auto const found = this->peers.find(name);
    if (found != this->peers.end()) {
        found->second.link_requested_until = now + link_request_lifetime;
    }
}

bool peer_table::is_connected(std::string const& name) const {
    auto const found = this->peers.find(name);
    return found != this->peers.end() && this->best_connection(found->second) != 0;
}

peer_info const* peer_table::find(std::string const& name) const {
    auto const found = this->peers.find(name);
    return found == this->peers.end() ? nullptr : &found->second.info;
}

bool peer_table::is_silent(peer_state const& peer, time_point now) {
    return std::ranges::none_of(peer.dialled_links, [now](link_state const& link) {
        bool const awaits_pong = link.unanswered_ping_sent_at.milliseconds > 0;
        return link.open && (!awaits_pong || now - link.unanswered_ping_sent_at < silent_host_timeout);
    });
}

std::vector<candidate_host> peer_table::candidates(std::string const& service, time_point now,
                                                   std::function<bool(peer_info const&)> const& skips) {
    std::vector<candidate_host> found;
    std::vector<candidate_host> silent;
    for (auto& [name, peer] : this->peers) {
        auto const& info = peer.info;
        bool const eligible = info.listed && info.entry.service == service && !info.entry.leaving &&
                              !info.reports_leaving && name != this->host;
        if (!eligible) {
            continue;
        }
        peer.link_requested_until = now + link_request_lifetime;
        if (skips && skips(info)) {
            continue;
        }
        if (info.has_report && info.report.serving && this->best_connection(peer) != 0) {
            auto const& report = info.report;
            auto& group = is_silent(peer, now) ? silent : found;
            group.push_back(
                {.host = name,
                 .same_domain = info.entry.failure_domain == this->domain,
                 .reported_in_flight = report.in_flight,
                 .limit = report.limit,
                 .report_age = now - info.report_time,
                 .same_region = !this->domains_of_other_regions.contains(info.entry.failure_domain),
                 .reported_wait = {static_cast<double>(report.expected_wait_ms)},
                 .request_time = {static_cast<double>(report.target_request_ms)},
                 .work_time_percent = static_cast<double>(report.target_work_time_percent),
                 .failure_fraction = report.target_failure_permille / permille});
        }
    }
    return found.empty() ? silent : found;
}

std::vector<std::string> peer_table::connected_hosts() const {
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

std::vector<std::string> peer_table::hosts_in(std::string const& failure_domain) const {
    std::vector<std::string> names;
    for (auto const& [name, peer] : this->peers) {
        if (peer.info.listed && peer.info.entry.failure_domain == failure_domain) {
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
