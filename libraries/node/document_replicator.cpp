#include "node/document_replicator.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace caraway {

namespace {

/// After this a node that started accepts platform documents without gossip from a peer.
constexpr duration peer_wait_timeout{1500};
constexpr duration fetch_timeout{600};
/// A check whose result has not arrived by then is requested again.
constexpr duration check_timeout{5000};
constexpr std::size_t max_names_per_fetch = 64;
/// A fetch answer carries at least one value; no further one is added once the values have reached this size.
constexpr std::size_t answer_bytes_soft_limit = 262'144;

constexpr std::array<document_kind, document_kind_count> all_kinds{document_kind::configuration,
                                                                   document_kind::hosts};

} // namespace

document_replicator::document_replicator(effects& output, time_point start, bool is_current)
    : out(output), platform_is_current(is_current), started(start) {}

bool document_replicator::accepts_platform_documents(time_point now) const {
    return this->platform_is_current || this->received_peer_gossip ||
           now - this->started >= peer_wait_timeout;
}

bool document_replicator::is_newer(document_state const& document, std::uint64_t revision) const {
    return revision > document.revision && revision != document.refused_revision &&
           (!document.checking || revision > document.checking_revision);
}

void document_replicator::request_check(document_kind kind, std::uint64_t revision, bundle content,
                                        time_point now) {
    auto& document = this->state(kind);
    document.checking = content;
    document.checking_since = now;
    document.checking_revision = revision;
    this->out.document_checks.push_back({kind, revision, std::move(content)});
}

void document_replicator::on_platform_document(document_kind kind, bundle content, time_point now) {
    auto& document = this->state(kind);
    document.platform_document = std::move(content);
    this->run_periodic_tasks(now);
}

void document_replicator::on_gossip(std::string const& from, gossip_message const& gossip, time_point now) {
    this->received_peer_gossip = this->received_peer_gossip || gossip.report.serving;
    for (auto const kind : all_kinds) {
        auto& document = this->state(kind);
        auto const revision = gossip.documents.at(static_cast<std::size_t>(kind)).revision;
        document.newest_peer_revision = std::max(document.newest_peer_revision, revision);
        bool const supersedes_fetch = !document.fetch || revision > document.fetch->revision;
        if (!this->is_newer(document, revision) || !supersedes_fetch) {
            continue;
        }
        document.fetch = fetch_state{.from = from, .revision = revision, .last_progress = now};
        this->outgoing_messages.push_back({from, fetch_message{.document = kind, .revision = revision}});
    }
}

void document_replicator::on_fetch(std::string const& from, fetch_message const& fetch) {
    auto const& document = this->state(fetch.document);
    if (document.revision == 0) {
        return;
    }
    values_message answer{.document = fetch.document, .revision = document.revision};
    if (fetch.names.empty()) {
        answer.manifest = document.content->manifest_text;
    }
    std::size_t total = 0;
    for (auto const& name : fetch.names) {
        auto const value = document.content->values.find(name);
        if (value == document.content->values.end() || total >= answer_bytes_soft_limit) {
            continue;
        }
        total += value->second.size();
        answer.values.push_back({name, value->second});
    }
    this->outgoing_messages.push_back({from, std::move(answer)});
}

void document_replicator::on_manifest(document_kind kind, document_state& document,
                                      values_message const& values, time_point now) {
    auto& fetch = *document.fetch;
    attempt_or(
        [&]() -> result<bool> {
            BOOST_LEAF_AUTO(parsed, parse_manifest(values.manifest));
            fetch.revision = parsed.revision;
            fetch.content = {.manifest_text = values.manifest};
            fetch.missing.clear();
            for (auto const& [name, digest] : parsed.digests) {
                auto const known_value = document.content->values.find(name);
                if (known_value != document.content->values.end() &&
                    value_digest(known_value->second) == digest) {
                    fetch.content.values[name] = known_value->second;
                } else {
                    fetch.missing[name] = digest;
                }
            }
            return true;
        },
        [&](problem const& cause) {
            this->out.log(log_level::warn, "document_refused",
                          {{"from", fetch.from}, {"reason", to_text(cause)}});
            document.fetch.reset();
            return false;
        });
    if (document.fetch) {
        this->continue_fetch(kind, document, now);
    }
}

void document_replicator::on_values(std::string const& from, values_message const& values, time_point now) {
    auto& document = this->state(values.document);
    if (!document.fetch || document.fetch->from != from) {
        return;
    }
    document.fetch->last_progress = now;
    if (!values.manifest.empty()) {
        return this->on_manifest(values.document, document, values, now);
    }
    if (document.fetch->content.manifest_text.empty()) {
        return; // Values that an earlier fetch asked for. The manifest is still to come.
    }
    if (values.revision != document.fetch->revision) {
        // The peer has put another revision into force meanwhile, so the fetch starts anew with its manifest.
        document.fetch->revision = values.revision;
        document.fetch->content = {};
        this->outgoing_messages.push_back(
            {from, fetch_message{.document = values.document, .revision = values.revision}});
        return;
    }
    bool has_expected = false;
    for (auto const& value : values.values) {
        auto const expected = document.fetch->missing.find(value.name);
        if (expected == document.fetch->missing.end()) {
            continue;
        }
        if (value_digest(value.text) != expected->second) {
            this->out.log(
                log_level::warn, "document_damaged",
                {{"from", from}, {"revision", std::to_string(values.revision)}, {"value", value.name}});
            document.fetch.reset();
            return;
        }
        document.fetch->content.values[value.name] = value.text;
        document.fetch->missing.erase(expected);
        has_expected = true;
    }
    if (!has_expected) {
        return; // A copy of an earlier answer.
    }
    this->continue_fetch(values.document, document, now);
}

void document_replicator::continue_fetch(document_kind kind, document_state& document, time_point now) {
    auto& fetch = *document.fetch;
    if (fetch.missing.empty()) {
        auto content = std::move(fetch.content);
        auto const revision = fetch.revision;
        document.fetch.reset();
        if (this->is_newer(document, revision)) {
            this->request_check(kind, revision, std::move(content), now);
        }
        return;
    }
    fetch_message request{.document = kind, .revision = fetch.revision};
    for (auto const& [name, digest] : fetch.missing) {
        if (request.names.size() < max_names_per_fetch) {
            request.names.push_back(name);
        }
    }
    fetch.last_progress = now;
    this->outgoing_messages.push_back({fetch.from, std::move(request)});
}

void document_replicator::on_checked(document_kind kind, std::uint64_t revision, bool accepted) {
    auto& document = this->state(kind);
    if (!document.checking || document.checking_revision != revision) {
        return;
    }
    auto content = std::move(*document.checking);
    document.checking.reset();
    if (!accepted) {
        document.refused_revision = revision;
        return;
    }
    document.revision = revision;
    document.content = std::make_shared<bundle const>(std::move(content));
    this->has_change = true;
}

void document_replicator::run_periodic_tasks(time_point now) {
    for (auto const kind : all_kinds) {
        auto& document = this->state(kind);
        if (document.fetch && now - document.fetch->last_progress >= fetch_timeout) {
            document.fetch.reset();
        }
        if (document.checking && now - document.checking_since >= check_timeout) {
            this->request_check(kind, document.checking_revision, *document.checking, now);
        }
        if (!document.platform_document || !this->accepts_platform_documents(now)) {
            continue;
        }
        auto content = std::move(*document.platform_document);
        document.platform_document.reset();
        auto const revision = attempt_or(
            [&]() -> result<std::uint64_t> {
                BOOST_LEAF_AUTO(parsed, parse_manifest(content.manifest_text));
                return parsed.revision;
            },
            [](problem const&) { return std::uint64_t{0}; });
        if (this->is_newer(document, revision) && revision >= document.newest_peer_revision) {
            this->request_check(kind, revision, std::move(content), now);
        }
    }
}

std::array<document_version, document_kind_count> document_replicator::versions() const {
    std::array<document_version, document_kind_count> versions;
    for (auto const kind : all_kinds) {
        versions.at(static_cast<std::size_t>(kind)).revision = this->state(kind).revision;
    }
    return versions;
}

std::uint64_t document_replicator::revision(document_kind kind) const {
    return this->state(kind).revision;
}

std::map<std::string, std::string> const& document_replicator::values(document_kind kind) const {
    return this->state(kind).content->values;
}

std::vector<replication_message> document_replicator::take_outgoing_messages() {
    return std::exchange(this->outgoing_messages, {});
}

bool document_replicator::consume_change_flag() {
    return std::exchange(this->has_change, false);
}

} // namespace caraway
