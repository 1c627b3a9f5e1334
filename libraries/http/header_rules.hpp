/// Header fields that are never forwarded, and carawaybridge's own field names, which no dialect changes.
#pragma once

#include "base/header_field.hpp"

#include <string_view>

namespace caraway::header {

inline constexpr std::string_view context = "X-Caraway-Context";
inline constexpr std::string_view result_outcome = "X-Caraway-Outcome";
inline constexpr std::string_view result_code = "X-Caraway-Code";
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
inline constexpr std::string_view traceparent = "traceparent";

/// Whether a field applies to a single connection or is set anew on each hop, as Host is.
bool is_hop_by_hop(std::string_view name);

/// Whether a field carries a credential or is one of carawaybridge's own.
bool is_internal(std::string_view name);

} // namespace caraway::header
