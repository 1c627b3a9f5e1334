/// Rendezvous hashing (highest random weight): all hosts that know the same candidates choose the same one.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace caraway {

/// The weight of `host` for `key`; the greater one is preferred, and ties are broken by host name.
std::uint64_t rendezvous_weight(std::string_view host, std::string_view key);

bool rendezvous_prefers(std::string_view left, std::string_view right, std::string_view key);

/// The `count` most preferred candidates in descending order of preference.
std::vector<std::string> rendezvous_top(std::span<std::string const> candidates, std::string_view key,
                                        std::size_t count);

} // namespace caraway
