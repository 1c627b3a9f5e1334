/// Which hosts are offered for a request while some of them do not answer pings.
#include "node/peer_table.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace caraway;

namespace {

constexpr auto near_link = "127.0.0.1:7001";
constexpr auto far_link = "127.0.0.1:7002";

listed_host const near_host{.host = "near", .failure_domain = "a", .service = "leaf", .link = near_link};
listed_host const far_host{.host = "far", .failure_domain = "b", .service = "leaf", .link = far_link};

/// A node with links to the hosts "near" and "far", which answer pings unless they are cut off.
class linked_peers {
public:
    linked_peers() : table("self", "a", out) {
        this->list({near_host, far_host});
        this->run_for({100});
    }

    void list(std::vector<listed_host> const& hosts) { this->table.update_hosts(hosts, this->now); }
    void set_work_under_way(bool is_under_way) { this->has_work = is_under_way; }
    std::size_t open_links(std::string const& host) const {
        return static_cast<std::size_t>(std::ranges::count(this->open, host, &link_entry::host));
    }

    void run_for(duration span) {
        for (auto const end = this->now + span; this->now < end; this->now = this->now + duration{50}) {
            this->table.maintain_links(
                {}, [this](connection_id) { return this->has_work; }, this->now);
            this->deliver();
        }
    }

    void cut(std::string const& host) { this->cut_off = host; }
    void heal() { this->cut_off.clear(); }

    /// Sends a message to the host, which it does not answer.
    void send(std::string const& host) { this->table.send(host, cancel_message{}, this->now); }

    std::vector<std::string> offered(std::string const& skipped_domain = "") {
        std::vector<std::string> names;
        auto const skips = [&](peer_info const& peer) { return peer.entry.failure_domain == skipped_domain; };
        for (auto const& candidate : this->table.candidates("leaf", this->now, skips)) {
            names.push_back(candidate.host);
        }
        std::ranges::sort(names);
        return names;
    }

private:
    void deliver() {
        auto const pending = std::exchange(this->out, {});
        for (auto const connection : pending.closes) {
            this->table.on_closed(connection);
            std::erase_if(this->open,
                          [connection](link_entry const& link) { return link.connection == connection; });
        }
        for (auto const& dial : pending.dials) {
            auto const* host = dial.address == near_link ? "near" : "far";
            if (host == this->cut_off) {
                continue;
            }
            this->open.push_back({dial.connection, host});
            this->table.on_opened({.kind = link_event_kind::opened,
                                   .connection = dial.connection,
                                   .dialled = true,
                                   .peer = {.host = host}},
                                  this->now);
            this->table.on_report(host, {.limit = 1, .serving = true}, this->now);
        }
        for (auto const& sent : pending.messages) {
            auto const link = std::ranges::find(this->open, sent.connection, &link_entry::connection);
            auto const* ping = std::get_if<ping_message>(&sent.content);
            if (link == this->open.end() || ping == nullptr || link->host == this->cut_off) {
                continue;
            }
            this->table.on_message_received(link->host, link->connection, this->now);
            this->table.on_pong(link->host, link->connection,
                                {.sequence = ping->sequence, .report = {.limit = 1, .serving = true}},
                                this->now);
        }
    }

    struct link_entry {
        connection_id connection{0};
        std::string host;
    };

    effects out;
    peer_table table;
    time_point now{1000};
    std::vector<link_entry> open;
    std::string cut_off;
    bool has_work{false}; ///< On every link.
};

using names = std::vector<std::string>;

} // namespace

TEST_CASE("a host whose link has gone silent gets no further requests while another host answers") {
    linked_peers peers;
    REQUIRE(peers.offered() == names{"far", "near"});
    peers.cut("far");
    peers.send("far");
    peers.run_for({450});
    CHECK(peers.offered() == names{"near"});
    peers.heal();
    peers.run_for({3000});
    CHECK(peers.offered() == names{"far", "near"});
}

TEST_CASE("a silent host is still offered while the only others are in an evacuated domain") {
    linked_peers peers;
    peers.cut("far");
    peers.send("far");
    peers.run_for({450});
    CHECK(peers.offered("a") == names{"far"});
}

// The host list ended the requests under way on a link: it says who gets new work, not how long a link lasts.
TEST_CASE("a link to a host that has left the list is closed after the last work on it") {
    linked_peers peers;
    peers.set_work_under_way(true);
    peers.list({near_host});
    peers.run_for({5000});
    CHECK(peers.open_links("far") == 1);
    CHECK(peers.offered() == names{"near"});
    peers.set_work_under_way(false);
    peers.run_for({100});
    CHECK(peers.open_links("far") == 0);
    CHECK(peers.open_links("near") == 1);
}

TEST_CASE("a link to a host that has left the list and does not answer is closed with work on it") {
    linked_peers peers;
    peers.set_work_under_way(true);
    peers.list({near_host});
    peers.cut("far");
    peers.send("far");
    peers.run_for({1300});
    CHECK(peers.open_links("far") == 0);
}

TEST_CASE("a host that is listed at another address gets new work there, and its former link ends its own") {
    linked_peers peers;
    peers.set_work_under_way(true);
    auto moved = far_host;
    moved.link = "127.0.0.1:7003";
    peers.list({near_host, moved});
    peers.run_for({300});
    CHECK(peers.open_links("far") == 2);
    CHECK(peers.offered() == names{"far", "near"});
    peers.set_work_under_way(false);
    peers.run_for({100});
    CHECK(peers.open_links("far") == 1);
}
