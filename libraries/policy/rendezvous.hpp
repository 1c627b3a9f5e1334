/// Placement by highest random weight: every host that knows the same candidates picks the same one.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace caraway {

/// The weight of `host` for `key`; greater is preferred, the host's name breaks ties.
std::uint64_t rendezvous_weight(std::string_view host, std::string_view key);

/// Whether `left` is preferred over `right` for `key`.
bool rendezvous_prefers(std::string_view left, std::string_view right, std::string_view key);

/// The `count` most preferred candidates, best first.
std::vector<std::string> rendezvous_top(std::span<std::string const> candidates, std::string_view key,
                                        std::size_t count);

} // namespace caraway
