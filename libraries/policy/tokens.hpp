/// Token amounts in whole millionths of a request, so that sums have no rounding errors.
#pragma once

#include <cmath>
#include <cstdint>

namespace caraway {

using token_amount = std::int64_t;

inline constexpr token_amount one_token = 1'000'000;

/// Rounds down, so that conversion never creates tokens.
inline token_amount to_tokens(double requests) {
    return static_cast<token_amount>(std::floor(requests * 1e6));
}

inline double to_requests(token_amount amount) {
    return static_cast<double>(amount) / 1e6;
}

} // namespace caraway
