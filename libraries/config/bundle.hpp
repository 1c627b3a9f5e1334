/// The published form of a configuration: a manifest with a revision, and values that are small enough to
/// send from node to node.
#pragma once

#include "config/configuration.hpp"

#include <map>
#include <string>

namespace caraway {

/// The name under which the platform stores the manifest.
inline constexpr std::string_view manifest_name = "manifest";

/// The parsed manifest: the revision, and the digest of each value that belongs to it.
struct manifest {
    std::uint64_t revision{0};
    std::map<std::string, std::string> digests; ///< Value name to `value_digest`.
};

/// A manifest with its values, all as published text.
struct bundle {
    std::string manifest_text;
    std::map<std::string, std::string> values;
};

/// Checks the items and serialises them into values. Each section is divided into buckets by a hash of the
/// item's name, so that a change of one item changes one small value.
result<bundle> make_bundle(item_set const& items, std::uint64_t revision);

result<manifest> parse_manifest(std::string const& text);

/// The digest that a manifest holds for a value: the first 32 digits of its SHA-256.
std::string value_digest(std::string const& text);

/// The items of a whole bundle, each checked against the schema; fails when a value is missing or damaged.
result<item_set> bundle_items(bundle const& published);

/// Parses and checks a whole bundle; fails when any value is missing, damaged or invalid.
result<configuration_pointer> compile_bundle(bundle const& published);

/// The bundle as the JSON document that `carawayctl bundle` prints.
std::string bundle_to_json(bundle const& published);
result<bundle> bundle_from_json(std::string const& text);

} // namespace caraway
