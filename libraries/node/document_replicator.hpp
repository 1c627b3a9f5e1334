/// How the configuration and the host list reach every node: gossip of revisions, and fetching of what is
/// missing.
///
/// A revision only goes up. Until a node has heard its peers, or found none within a bound, it takes nothing
/// from the platform, so that a stale service can't take it back behind the fleet.
#pragma once

#include "base/clock.hpp"
#include "node/effects.hpp"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

/// A message with its receiver.
struct replication_message {
    std::string to;
    message content;
};

class document_replicator {
public:
    /// `platform_is_current`: the platform never serves an older state than before.
    document_replicator(effects& output, time_point started, bool platform_is_current = false);

    /// The platform served this document.
    void on_platform_document(document_kind kind, bundle content, time_point now);

    void on_gossip(std::string const& from, gossip_message const& gossip, time_point now);
    void on_fetch(std::string const& from, fetch_message const& fetch);
    void on_values(std::string const& from, values_message const& values, time_point now);

    /// The check of a document ended; gives the revision now in force.
    void on_compiled(document_kind kind, std::uint64_t revision, bool accepted);

    void run_periodic_tasks(time_point now);

    /// Whether the node has heard its peers, or waited long enough for them.
    bool accepts_platform_documents(time_point now) const;

    std::array<document_version, document_kind_count> versions() const;
    std::uint64_t revision(document_kind kind) const;
    /// Values in force, for a reader that fetches only what has changed.
    std::map<std::string, std::string> const& values(document_kind kind) const;
    std::vector<replication_message> take_outgoing_messages();
    /// Whether a revision came into force since the last call, so that others should be told at once.
    bool consume_change_flag();

private:
    struct fetch_state {
        std::string from;
        std::uint64_t revision{0};
        bundle content;
        std::vector<std::string> missing_names;
        time_point last_progress;
    };
    struct document_state {
        std::uint64_t revision{0};
        bundle content;
        std::optional<bundle> checking;
        std::uint64_t checking_revision{0};
        std::uint64_t refused_revision{0};
        std::uint64_t newest_peer_revision{
            0}; ///< In force at some peer; nothing older is taken from the platform.
        std::optional<bundle> platform_document; ///< From the platform, not believed yet.
        std::optional<fetch_state> fetch;
    };

    document_state& state(document_kind kind) { return this->documents.at(static_cast<std::size_t>(kind)); }
    document_state const& state(document_kind kind) const {
        return this->documents.at(static_cast<std::size_t>(kind));
    }
    void request_check(document_kind kind, std::uint64_t revision, bundle content);
    bool is_newer(document_state const& document, std::uint64_t revision) const;
    void continue_fetch(document_kind kind, document_state& document, time_point now);
    void on_manifest(document_kind kind, document_state& document, values_message const& values,
                     time_point now);

    effects& out;
    bool platform_is_current;
    time_point started;
    bool received_peer_gossip{false};
    bool has_change{false};
    std::array<document_state, document_kind_count> documents;
    std::vector<replication_message> outgoing_messages;
};

} // namespace caraway
