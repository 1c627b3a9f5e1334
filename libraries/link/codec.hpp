/// Messages as CBOR by QtCore: an array of the type number and the fields in the order of `visit`.
#pragma once

#include "base/problem.hpp"
#include "link/message.hpp"

#include <string>
#include <string_view>

namespace caraway {

/// Most elements of one list in a message; a longer one is malformed.
inline constexpr std::size_t max_list_length = 100'000;

/// The message as bytes.
std::string encode(message const& value);

/// Fails with link_malformed on anything but exactly one whole message.
result<message> decode(std::string_view bytes);

} // namespace caraway
