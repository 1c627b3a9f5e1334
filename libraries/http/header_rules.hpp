/// Which header fields never cross the system, and the names of its own that no dialect changes.
#pragma once

#include "base/header_field.hpp"

#include <string_view>

namespace caraway::header {

inline constexpr std::string_view context = "X-Caraway-Context";
inline constexpr std::string_view result_outcome = "X-Caraway-Outcome";
inline constexpr std::string_view result_code = "X-Caraway-Code";
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
inline constexpr std::string_view traceparent = "traceparent";

/// Whether a field concerns one connection only.
bool is_hop_by_hop(std::string_view name);

/// Whether a field carries a credential, or is the system's own.
bool is_internal(std::string_view name);

} // namespace caraway::header
