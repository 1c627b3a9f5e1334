/// Documents are replicated from node to node, and the revision in force never decreases.

#include "node/document_replicator.hpp"
#include "node/host_list.hpp"
#include "support/property.hpp"

#include <memory>
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
