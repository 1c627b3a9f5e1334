/// The published form of a configuration: a manifest with a revision, and values cut small enough to spread.
#pragma once

#include "config/configuration.hpp"

#include <map>
#include <string>

namespace caraway {

/// The name under which the platform holds the manifest.
inline constexpr std::string_view manifest_name = "manifest";

/// What a manifest says: the revision, and the digest of each value it needs.
struct manifest {
    std::uint64_t revision{0};
    std::map<std::string, std::string> digests; ///< Value name to the first 32 digits of its SHA-256.
};

/// A manifest with its values, both as published text.
struct bundle {
    std::string manifest_text;
    std::map<std::string, std::string> values;
};

/// Cuts the items into values. Every section is spread over buckets by a hash of the item's name, so that a
/// change of one item changes one small value.
result<bundle> make_bundle(item_set const& items, std::uint64_t revision);

result<manifest> parse_manifest(std::string const& text);

/// The digest that a manifest holds for a value.
std::string value_digest(std::string const& text);

/// Reads and checks a whole bundle; a value that is missing, damaged or wrong refuses all of it.
result<configuration_pointer> compile_bundle(bundle const& published);

/// A bundle as one JSON document, as `carawayctl bundle` prints it, and back.
std::string bundle_to_json(bundle const& published);
result<bundle> bundle_from_json(std::string const& text);

} // namespace caraway
