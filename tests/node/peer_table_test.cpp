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

/// A node with links to the hosts "near" and "far", which answer pings unless they are cut off.
class linked_peers {
public:
    linked_peers() : table("self", "a", out) {
        this->table.update_hosts(
            {{.host = "near", .failure_domain = "a", .service = "leaf", .link = near_link},
             {.host = "far", .failure_domain = "b", .service = "leaf", .link = far_link}},
            this->now);
        this->run_for({100});
    }

    void run_for(duration span) {
        for (auto const end = this->now + span; this->now < end; this->now = this->now + duration{50}) {
            this->table.maintain_links({}, this->now);
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
        }
        for (auto const& dial : pending.dials) {
            auto const* host = dial.address == far_link ? "far" : "near";
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
