/// Trace spans and their propagation, in OpenTelemetry's data model.
#pragma once

#include "base/header_field.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace caraway {

/// Whether a span describes the receiving or the sending end of a hop; the numbers are OTLP's.
enum class span_kind : std::uint8_t { server = 2, client = 3 };

struct span {
    std::string trace_id; ///< 32 hexadecimal digits.
    std::string span_id;  ///< 16 hexadecimal digits.
    std::string parent_id;
    std::string name;
    span_kind kind{span_kind::server};
    std::uint64_t start_nanoseconds{0}; ///< Since the epoch.
    std::uint64_t end_nanoseconds{0};
    bool failed{false};
    header_list attributes;
};

/// Trace id and parent span id, as in the W3C "traceparent" header.
struct trace_context {
    std::string trace_id;
    std::string span_id;

    /// Parses the header; starts a new trace when it is absent or malformed.
    static trace_context from_header(std::string const& text);
    std::string to_header() const;
    static std::string new_span_id();
};

/// One OTLP/JSON export request for the spans of one service instance, on one line.
std::string spans_to_json(std::vector<span> const& spans, std::string const& service,
                          std::string const& host);

} // namespace caraway
