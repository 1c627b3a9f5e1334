/// Revisions of documents from a platform that can come back from a copy and then gives its own revisions out
/// again.
#pragma once

#include <algorithm>
#include <cstdint>

namespace caraway {

/// The epoch counts the restores of the platform; 0 where the platform does not state it.
inline constexpr std::uint64_t max_epoch = (std::uint64_t{1} << 20U) - 1;
/// States that a reader may tell apart at one revision of the platform: unconfirmed entries expire without a
/// change of it.
inline constexpr std::uint64_t steps_per_revision = 256;
inline constexpr std::uint64_t max_platform_revision = (std::uint64_t{1} << 36U) - 1;

/// A revision that rises with the epoch and, within an epoch, with the platform's revision. The numbers up to
/// the next one are the steps of this one.
constexpr std::uint64_t make_document_revision(std::uint64_t epoch, std::uint64_t platform_revision) {
    return (epoch * (max_platform_revision + 1) + std::min(platform_revision, max_platform_revision)) *
           steps_per_revision;
}

constexpr std::uint64_t platform_revision_of(std::uint64_t document_revision) {
    return document_revision / steps_per_revision % (max_platform_revision + 1);
}

constexpr std::uint64_t epoch_of(std::uint64_t document_revision) {
    return document_revision / steps_per_revision / (max_platform_revision + 1);
}

} // namespace caraway
