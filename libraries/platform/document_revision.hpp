/// Orders the states of the registry, also across restores from a copy, which give revisions out again.
#pragma once

#include <algorithm>
#include <cstdint>

namespace caraway::registry {

/// The registry counts its restores: the era rises by one with each. 0 while it has stated none.
inline constexpr std::uint64_t max_era = (std::uint64_t{1} << 20U) - 1;
/// States that a reader may tell apart at one revision: unconfirmed entries expire without a change of it.
inline constexpr std::uint64_t steps_per_revision = 256;

/// A number that rises with the era and, within an era, with the revision. The numbers up to the next
/// revision's are the steps of this one.
constexpr std::uint64_t make_position(std::uint64_t era, std::uint64_t revision) {
    constexpr unsigned int revision_bits = 36;
    constexpr std::uint64_t max_revision = (std::uint64_t{1} << revision_bits) - 1;
    return ((era << revision_bits) | std::min(revision, max_revision)) * steps_per_revision;
}

} // namespace caraway::registry
