#include "policy/rendezvous.hpp"

#include "base/digest.hpp"

#include <algorithm>

namespace caraway {

std::uint64_t rendezvous_weight(std::string_view host, std::string_view key) {
    return fast_hash(host, fast_hash(key));
}

bool rendezvous_prefers(std::string_view left, std::string_view right, std::string_view key) {
    auto const left_weight = rendezvous_weight(left, key);
    auto const right_weight = rendezvous_weight(right, key);
    return left_weight != right_weight ? left_weight > right_weight : left < right;
}

std::vector<std::string> rendezvous_top(std::span<std::string const> candidates, std::string_view key,
                                        std::size_t count) {
    std::vector<std::string> sorted(candidates.begin(), candidates.end());
    auto const kept_count = static_cast<std::ptrdiff_t>(std::min(count, sorted.size()));
    std::ranges::partial_sort(sorted, sorted.begin() + kept_count,
                              [&](std::string const& left, std::string const& right) {
                                  return rendezvous_prefers(left, right, key);
                              });
    sorted.resize(static_cast<std::size_t>(kept_count));
    return sorted;
}

} // namespace caraway
