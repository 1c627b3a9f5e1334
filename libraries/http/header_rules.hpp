/// Which header fields cross the system, and the names of its own.
#pragma once

#include "base/header_field.hpp"

#include <string_view>

namespace caraway::header {

inline constexpr std::string_view request_id = "X-Request-Id";
inline constexpr std::string_view timeout = "X-Request-Timeout-Ms";
inline constexpr std::string_view context = "X-Caraway-Context";
inline constexpr std::string_view deadline = "X-Caraway-Deadline-Ms";
inline constexpr std::string_view result_outcome = "X-Caraway-Outcome";
inline constexpr std::string_view result_code = "X-Caraway-Code";
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
inline constexpr std::string_view traceparent = "traceparent";

/// Whether a field stays between one hop's two ends, carries a credential, or is the system's own.
bool is_private(std::string_view name);

} // namespace caraway::header
