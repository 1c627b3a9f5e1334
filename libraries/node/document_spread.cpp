#include "node/document_spread.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace caraway {

namespace {

constexpr duration peer_wait{1500};
constexpr duration fetch_timeout{600};
constexpr std::size_t names_at_once = 64;
/// One answer carries at least one value, and more up to this size.
constexpr std::size_t values_bytes = 262'144;

constexpr std::array<document_kind, document_kind_count> all_kinds{document_kind::configuration,
                                                                   document_kind::hosts};

} // namespace

document_spread::document_spread(effects& wanted, time_point start, bool is_current)
    : out(wanted), platform_is_current(is_current), started(start) {}

bool document_spread::may_believe_platform(time_point now) const {
    return this->platform_is_current || this->heard_peer || now - this->started >= peer_wait;
}

bool document_spread::is_news(document_state const& document, std::uint64_t revision) const {
    return revision > document.revision && revision != document.refused_revision &&
           (!document.checking || revision > document.checking_revision);
}

void document_spread::check(document_kind kind, std::uint64_t revision, bundle content) {
    auto& document = this->state(kind);
    document.checking = content;
    document.checking_revision = revision;
    this->out.document_checks.push_back({kind, revision, std::move(content)});
}

void document_spread::offer(document_kind kind, bundle content, time_point now) {
    auto& document = this->state(kind);
    document.offered = std::move(content);
    this->tick(now);
}

void document_spread::on_gossip(std::string const& from, gossip_message const& gossip, time_point now) {
    this->heard_peer = this->heard_peer || gossip.report.serving;
    for (auto const kind : all_kinds) {
        auto& document = this->state(kind);
        auto const revision = gossip.documents.at(static_cast<std::size_t>(kind)).revision;
        document.heard_revision = std::max(document.heard_revision, revision);
        bool const better_fetch = !document.fetch || revision > document.fetch->revision;
        if (!this->is_news(document, revision) || !better_fetch) {
            continue;
        }
        document.fetch = fetch_state{.from = from, .revision = revision, .last_progress = now};
        this->letters.push_back({from, fetch_message{.document = kind, .revision = revision}});
    }
}

void document_spread::on_fetch(std::string const& from, fetch_message const& fetch) {
    auto const& document = this->state(fetch.document);
    if (document.revision == 0) {
        return;
    }
    values_message answer{.document = fetch.document, .revision = document.revision};
    if (fetch.names.empty()) {
        answer.manifest = document.content.manifest_text;
    }
    std::size_t total = 0;
    for (auto const& name : fetch.names) {
        auto const value = document.content.values.find(name);
        if (value == document.content.values.end() || total >= values_bytes) {
            continue;
        }
        total += value->second.size();
        answer.values.push_back({name, value->second});
    }
    this->letters.push_back({from, std::move(answer)});
}

void document_spread::take_manifest(document_kind kind, document_state& document,
                                    values_message const& values, time_point now) {
    auto& fetch = *document.fetch;
    attempt_or(
        [&]() -> result<bool> {
            BOOST_LEAF_AUTO(parsed, parse_manifest(values.manifest));
            fetch.revision = parsed.revision;
            fetch.content = {.manifest_text = values.manifest};
            fetch.missing.clear();
            for (auto const& [name, digest] : parsed.digests) {
                auto const held = document.content.values.find(name);
                if (held != document.content.values.end() && value_digest(held->second) == digest) {
                    fetch.content.values[name] = held->second;
                } else {
                    fetch.missing.push_back(name);
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
        this->ask_for_missing(kind, document, now);
    }
}

void document_spread::on_values(std::string const& from, values_message const& values, time_point now) {
    auto& document = this->state(values.document);
    if (!document.fetch || document.fetch->from != from) {
        return;
    }
    document.fetch->last_progress = now;
    if (!values.manifest.empty()) {
        return this->take_manifest(values.document, document, values, now);
    }
    if (values.revision != document.fetch->revision) {
        // The other went on to a newer revision meanwhile.
        document.fetch->revision = values.revision;
        this->letters.push_back(
            {from, fetch_message{.document = values.document, .revision = values.revision}});
        return;
    }
    for (auto const& value : values.values) {
        document.fetch->content.values[value.name] = value.text;
        std::erase(document.fetch->missing, value.name);
    }
    this->ask_for_missing(values.document, document, now);
}

void document_spread::ask_for_missing(document_kind kind, document_state& document, time_point now) {
    auto& fetch = *document.fetch;
    if (fetch.missing.empty()) {
        auto content = std::move(fetch.content);
        auto const revision = fetch.revision;
        document.fetch.reset();
        if (this->is_news(document, revision)) {
            this->check(kind, revision, std::move(content));
        }
        return;
    }
    auto const count = std::min(names_at_once, fetch.missing.size());
    fetch.last_progress = now;
    this->letters.push_back(
        {fetch.from, fetch_message{.document = kind,
                                   .revision = fetch.revision,
                                   .names = {fetch.missing.begin(),
                                             fetch.missing.begin() + static_cast<std::ptrdiff_t>(count)}}});
}

void document_spread::on_compiled(document_kind kind, std::uint64_t revision, bool accepted) {
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
    document.content = std::move(content);
    this->news = true;
}

void document_spread::tick(time_point now) {
    for (auto const kind : all_kinds) {
        auto& document = this->state(kind);
        if (document.fetch && now - document.fetch->last_progress >= fetch_timeout) {
            document.fetch.reset();
        }
        if (!document.offered || !this->may_believe_platform(now)) {
            continue;
        }
        auto content = std::move(*document.offered);
        document.offered.reset();
        auto const revision = attempt_or(
            [&]() -> result<std::uint64_t> {
                BOOST_LEAF_AUTO(parsed, parse_manifest(content.manifest_text));
                return parsed.revision;
            },
            [](problem const&) { return std::uint64_t{0}; });
        if (this->is_news(document, revision) && revision >= document.heard_revision) {
            this->check(kind, revision, std::move(content));
        }
    }
}

std::array<document_version, document_kind_count> document_spread::versions() const {
    std::array<document_version, document_kind_count> versions;
    for (auto const kind : all_kinds) {
        versions.at(static_cast<std::size_t>(kind)).revision = this->state(kind).revision;
    }
    return versions;
}

std::uint64_t document_spread::revision(document_kind kind) const {
    return this->state(kind).revision;
}

std::map<std::string, std::string> const& document_spread::values(document_kind kind) const {
    return this->state(kind).content.values;
}

std::vector<spread_letter> document_spread::take_letters() {
    return std::exchange(this->letters, {});
}

bool document_spread::take_news() {
    return std::exchange(this->news, false);
}

} // namespace caraway
