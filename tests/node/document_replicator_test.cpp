/// Documents are replicated from node to node, and the revision in force never decreases.

#include "node/document_replicator.hpp"
#include "node/host_list.hpp"
#include "support/property.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

using namespace caraway;

namespace {

bundle make_document(std::uint64_t revision) {
    return make_host_list_bundle(
        {revision, {{"h" + std::to_string(revision), "d", "s", "127.0.0.1:1", false}}});
}

/// Several replicators with lossless links; every document passes its check immediately.
struct replicator_fleet {
    explicit replicator_fleet(std::size_t count) {
        for (std::size_t index = 0; index < count; ++index) {
            this->start(index);
        }
    }

    void start(std::size_t index) {
        if (index >= this->nodes.size()) {
            this->nodes.resize(index + 1);
        }
        this->nodes[index].out = std::make_unique<effects>();
        this->nodes[index].replicator =
            std::make_unique<document_replicator>(*this->nodes[index].out, time_point{this->now});
    }

    void gossip(std::size_t from, std::size_t to) {
        gossip_message const content{.report = {.serving = true},
                                     .documents = this->nodes[from].replicator->versions()};
        this->nodes[to].replicator->on_gossip(std::to_string(from), content, {this->now});
        this->deliver_all();
    }

    void deliver_all() {
        bool busy = true;
        while (busy) {
            busy = false;
            for (std::size_t index = 0; index < this->nodes.size(); ++index) {
                for (auto& outgoing : this->nodes[index].replicator->take_outgoing_messages()) {
                    busy = true;
                    auto& receiver =
                        *this->nodes[static_cast<std::size_t>(std::stoi(outgoing.to))].replicator;
                    if (auto* fetch = std::get_if<fetch_message>(&outgoing.content)) {
                        receiver.on_fetch(std::to_string(index), *fetch);
                    } else {
                        receiver.on_values(std::to_string(index), std::get<values_message>(outgoing.content),
                                           {this->now});
                    }
                }
                for (auto const& request : std::exchange(this->nodes[index].out->document_checks, {})) {
                    busy = true;
                    this->nodes[index].replicator->on_checked(request.document, request.revision, true);
                }
            }
        }
    }

    std::uint64_t revision(std::size_t index) {
        return this->nodes[index].replicator->revision(document_kind::hosts);
    }

    struct node_state {
        std::unique_ptr<effects> out;
        std::unique_ptr<document_replicator> replicator;
    };
    std::vector<node_state> nodes;
    double now{10'000};
};

} // namespace

TEST_CASE(
    "the revision in force never decreases while a node runs, whatever the platform and the peers serve") {
    caraway::tests::check_property("monotone", [] {
        constexpr std::size_t count = 4;
        replicator_fleet fleet(count);
        std::vector<std::uint64_t> last(count, 0);
        auto const actions = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 4), rc::gen::inRange(1, 9)));
        for (auto const& [kind, index, number] : actions) {
            fleet.now += 700;
            auto const node = static_cast<std::size_t>(index);
            if (kind == 0) {
                fleet.nodes[node].replicator->on_platform_document(
                    document_kind::hosts, make_document(static_cast<std::uint64_t>(number)), {fleet.now});
                fleet.deliver_all();
            } else {
                fleet.gossip(node, static_cast<std::size_t>(number) % count);
            }
            for (std::size_t each = 0; each < count; ++each) {
                RC_ASSERT(fleet.revision(each) >= last[each]);
                last[each] = fleet.revision(each);
            }
        }
    });
}

TEST_CASE("a node that starts accepts no platform document that is older than what a peer has in force") {
    replicator_fleet fleet(2);
    fleet.now += 2000;
    fleet.nodes[0].replicator->on_platform_document(document_kind::hosts, make_document(7), {fleet.now});
    fleet.deliver_all();
    REQUIRE(fleet.revision(0) == 7);
    fleet.start(1);
    fleet.nodes[1].replicator->on_platform_document(document_kind::hosts, make_document(3), {fleet.now});
    fleet.deliver_all();
    CHECK(fleet.revision(1) == 0);
    fleet.gossip(0, 1);
    CHECK(fleet.revision(1) == 7);
    fleet.now += 5000;
    fleet.nodes[1].replicator->on_platform_document(document_kind::hosts, make_document(4), {fleet.now});
    fleet.deliver_all();
    CHECK(fleet.revision(1) == 7);
}

TEST_CASE("a refused revision is not checked again, and the next one is accepted") {
    replicator_fleet fleet(1);
    fleet.now += 2000;
    auto& node = fleet.nodes[0];
    node.replicator->on_platform_document(document_kind::hosts, make_document(2), {fleet.now});
    REQUIRE(node.out->document_checks.size() == 1);
    node.out->document_checks.clear();
    node.replicator->on_checked(document_kind::hosts, 2, false);
    node.replicator->on_platform_document(document_kind::hosts, make_document(2), {fleet.now});
    CHECK(node.out->document_checks.empty());
    node.replicator->on_platform_document(document_kind::hosts, make_document(3), {fleet.now});
    fleet.deliver_all();
    CHECK(fleet.revision(0) == 3);
}

TEST_CASE("a host list can be read back from its bundle, and is refused when a value is missing") {
    host_list list{.revision = 5};
    for (int index = 0; index < 300; ++index) {
        list.hosts.push_back({"host-" + std::to_string(index), "d", "s", "127.0.0.1:9", index % 2 == 0});
    }
    auto published = make_host_list_bundle(list);
    auto const count = [&]() {
        return attempt_or(
            [&]() -> result<std::size_t> {
                BOOST_LEAF_AUTO(read, parse_host_list_bundle(published));
                return read.hosts.size();
            },
            [](problem const&) { return std::size_t{0}; });
    };
    CHECK(count() == 300);
    published.values.erase(published.values.begin());
    CHECK(count() == 0);
}

TEST_CASE("a document whose check was lost is checked again") {
    // The queues to and from the checking thread are bounded, so a request or a result can be dropped.
    effects out;
    document_replicator replicator(out, {0}, true);
    replicator.on_platform_document(document_kind::hosts, make_document(7), {100});
    REQUIRE(out.document_checks.size() == 1);
    out.document_checks.clear();
    replicator.run_periodic_tasks({4000});
    CHECK(out.document_checks.empty());
    replicator.run_periodic_tasks({6000});
    REQUIRE(out.document_checks.size() == 1);
    CHECK(out.document_checks.front().revision == 7);
    replicator.on_checked(document_kind::hosts, 7, true);
    CHECK(replicator.revision(document_kind::hosts) == 7);
}

namespace {

/// A configuration in which every value has changed since the revision before.
bundle make_changed_configuration(std::uint64_t revision) {
    item_set items;
    for (auto const* name : {"first", "second", "third"}) {
        items["services"][name]["connections"] = {.value = static_cast<double>(revision)};
    }
    return attempt_or([&] { return make_bundle(items, revision); }, [](problem const&) { return bundle{}; });
}

bool is_whole(bundle const& content) {
    auto const stated = attempt_or([&] { return parse_manifest(content.manifest_text); },
                                   [](problem const&) { return manifest{}; });
    return stated.revision > 0 && stated.digests.size() == content.values.size() &&
           std::ranges::all_of(stated.digests, [&](auto const& entry) {
               auto const value = content.values.find(entry.first);
               return value != content.values.end() && value_digest(value->second) == entry.second;
           });
}

/// A follower that learns a configuration from two peers over links that lose, repeat, delay, reorder and
/// damage messages. The peers read the platform.
class disordered_links {
public:
    disordered_links() : fleet(3) { this->fleet.now += 5000; } // The peers have waited for peers of theirs.

    void publish(std::size_t peer) {
        this->fleet.nodes[peer].replicator->on_platform_document(
            document_kind::configuration, make_changed_configuration(++this->newest), {this->fleet.now});
        this->collect();
    }
    void gossip(std::size_t peer) {
        gossip_message const content{.report = {.serving = true},
                                     .documents = this->fleet.nodes[peer].replicator->versions()};
        this->fleet.nodes[follower].replicator->on_gossip(std::to_string(peer), content, {this->fleet.now});
        this->collect();
    }
    void deliver(std::size_t index, bool is_repeated, bool is_damaged) {
        if (this->in_transit.empty()) {
            return;
        }
        index %= this->in_transit.size();
        auto moved = this->in_transit[index];
        if (!is_repeated) {
            this->drop(index);
        }
        auto& receiver = *this->fleet.nodes[static_cast<std::size_t>(std::stoi(moved.message.to))].replicator;
        auto const from = std::to_string(moved.from);
        if (auto* fetch = std::get_if<fetch_message>(&moved.message.content)) {
            receiver.on_fetch(from, *fetch);
        } else {
            auto& values = std::get<values_message>(moved.message.content);
            if (is_damaged && !values.values.empty()) {
                values.values.front().text += "x";
            }
            receiver.on_values(from, values, {this->fleet.now});
        }
        this->collect();
    }
    void drop(std::size_t index) {
        if (!this->in_transit.empty()) {
            this->in_transit.erase(this->in_transit.begin() +
                                   static_cast<std::ptrdiff_t>(index % this->in_transit.size()));
        }
    }
    /// A round in which nothing is lost or late, after the time of a fetch that had no answer.
    void recover() {
        this->fleet.now += 10'000;
        this->in_transit.clear();
        this->fleet.nodes[follower].replicator->run_periodic_tasks({this->fleet.now});
        for (std::size_t const peer : {1, 2}) {
            this->gossip(peer);
            while (!this->in_transit.empty()) {
                this->deliver(0, false, false);
            }
        }
    }
    std::uint64_t followed_revision() const {
        return this->fleet.nodes[follower].replicator->revision(document_kind::configuration);
    }

    std::uint64_t newest{0};
    bool checks_only_whole{true};

private:
    struct message_in_transit {
        std::size_t from{0};
        replication_message message;
    };

    static constexpr std::size_t follower = 0;

    void collect() {
        for (std::size_t index = 0; index < this->fleet.nodes.size(); ++index) {
            for (auto& outgoing : this->fleet.nodes[index].replicator->take_outgoing_messages()) {
                this->in_transit.push_back({index, std::move(outgoing)});
            }
            for (auto const& request : std::exchange(this->fleet.nodes[index].out->document_checks, {})) {
                bool const accepted = is_whole(request.content);
                this->checks_only_whole = this->checks_only_whole && accepted;
                this->fleet.nodes[index].replicator->on_checked(request.document, request.revision, accepted);
            }
        }
    }

    replicator_fleet fleet;
    std::vector<message_in_transit> in_transit;
};

} // namespace

// Values of an earlier fetch were taken for the answer to a newer one; the incomplete document was refused,
// and its revision was never taken again from any peer.
TEST_CASE("only whole documents are checked, and the newest is taken, in any order of damaged messages") {
    caraway::tests::check_property("whole documents", [] {
        disordered_links links;
        auto const actions = *rc::gen::container<std::vector<std::tuple<int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 8), rc::gen::inRange(0, 6)));
        for (auto const& [kind, number] : actions) {
            auto const index = static_cast<std::size_t>(number);
            auto const peer = 1 + index % 2;
            if (kind == 0) {
                links.publish(peer);
            } else if (kind <= 2) {
                links.gossip(peer);
            } else if (kind == 3) {
                links.drop(index);
            } else {
                links.deliver(index, kind == 4, kind == 5);
            }
            RC_ASSERT(links.checks_only_whole);
        }
        links.recover();
        RC_ASSERT(links.checks_only_whole);
        RC_ASSERT(links.followed_revision() == links.newest);
    });
}
