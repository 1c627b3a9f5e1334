/// Encodes messages as CBOR with QtCore: an array of the type number and the fields in the order of `visit`.
#pragma once

#include "base/problem.hpp"
#include "link/message.hpp"

#include <string>
#include <string_view>

namespace caraway {

/// Most elements of one list; a message with a longer list is malformed.
inline constexpr std::size_t max_list_length = 100'000;

std::string encode(message const& value);

/// Fails with link_malformed unless the bytes are exactly one complete message.
result<message> decode(std::string_view bytes);

} // namespace caraway
