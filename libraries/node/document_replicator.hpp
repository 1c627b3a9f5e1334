/// Replicates the configuration and the host list to every node: nodes gossip their revisions and fetch newer
/// documents from each other.
///
/// The revision in force never decreases. A node that starts accepts no document from the platform until it
/// has received gossip from a serving peer or has waited long enough for one; otherwise a stale platform
/// could give it an older revision than the fleet has in force.
#pragma once

#include "base/clock.hpp"
#include "node/effects.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

/// A message and the host that it is for.
struct replication_message {
    std::string to;
    message content;
};

class document_replicator {
public:
    /// `platform_is_current`: the platform never serves an older state than it served before.
    document_replicator(effects& output, time_point started, bool platform_is_current = false);

    /// Handles a document that the platform served.
    void on_platform_document(document_kind kind, bundle content, time_point now);

    void on_gossip(std::string const& from, gossip_message const& gossip, time_point now);
    void on_fetch(std::string const& from, fetch_message const& fetch);
    void on_values(std::string const& from, values_message const& values, time_point now);

    /// Puts a checked document into force, or remembers the revision as refused.
    void on_checked(document_kind kind, std::uint64_t revision, bool accepted);

    void run_periodic_tasks(time_point now);

    /// Whether a serving peer has sent gossip, the wait for one is over, or the platform is always current.
    bool accepts_platform_documents(time_point now) const;

    std::array<document_version, document_kind_count> versions() const;
    std::uint64_t revision(document_kind kind) const;
    /// The values in force, for a reader that fetches only what has changed.
    std::map<std::string, std::string> const& values(document_kind kind) const;
    /// The document in force; empty before there is one.
    std::shared_ptr<bundle const> content(document_kind kind) const { return this->state(kind).content; }
    std::vector<replication_message> take_outgoing_messages();
    /// Whether a revision came into force since the last call, so that peers should be notified at once.
    bool consume_change_flag();

private:
    struct fetch_state {
        std::string from;
        std::uint64_t revision{0};
        bundle content; ///< Empty until the manifest of this fetch has arrived.
        /// The digests of the values that are still to come, by name.
        std::map<std::string, std::string> missing;
        time_point last_progress;
    };
    struct document_state {
        std::uint64_t revision{0};
        std::shared_ptr<bundle const> content{std::make_shared<bundle const>()};
        std::optional<bundle> checking;
        std::uint64_t checking_revision{0};
        time_point checking_since;
        std::uint64_t refused_revision{0};
        std::uint64_t newest_peer_revision{0};   ///< Nothing older than this is accepted from the platform.
        std::optional<bundle> platform_document; ///< Kept until platform documents are accepted.
        std::optional<fetch_state> fetch;
    };

    document_state& state(document_kind kind) { return this->documents.at(static_cast<std::size_t>(kind)); }
    document_state const& state(document_kind kind) const {
        return this->documents.at(static_cast<std::size_t>(kind));
    }
    void request_check(document_kind kind, std::uint64_t revision, bundle content, time_point now);
    /// Whether the revision is newer than the one in force and the one being checked, and was not refused.
    bool is_newer(document_state const& document, std::uint64_t revision) const;
    /// Fetches the next missing values, or requests the check of the complete document.
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
