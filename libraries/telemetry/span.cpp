#include "telemetry/span.hpp"

#include "base/digest.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <string_view>

namespace caraway {

namespace {

constexpr std::size_t trace_digits = 32;
constexpr std::size_t span_digits = 16;
constexpr std::size_t header_length = 55;
constexpr std::size_t trace_offset = 3;
constexpr std::size_t span_offset = 36;
constexpr int otlp_status_error = 2;

QString text(std::string const& value) {
    return QString::fromStdString(value);
}

QJsonObject attribute(std::string const& name, std::string const& value) {
    return {{"key", text(name)}, {"value", QJsonObject{{"stringValue", text(value)}}}};
}

QJsonObject to_json(span const& value) {
    QJsonArray attributes;
    for (auto const& field : value.attributes) {
        attributes.append(attribute(field.name, field.value));
    }
    QJsonObject object{{"traceId", text(value.trace_id)},
                       {"spanId", text(value.span_id)},
                       {"parentSpanId", text(value.parent_id)},
                       {"name", text(value.name)},
                       {"kind", static_cast<int>(value.kind)},
                       {"startTimeUnixNano", QString::number(value.start_nanoseconds)},
                       {"endTimeUnixNano", QString::number(value.end_nanoseconds)},
                       {"attributes", attributes}};
    if (value.failed) {
        object.insert("status", QJsonObject{{"code", otlp_status_error}});
    }
    return object;
}

} // namespace

trace_context trace_context::from_header(std::string const& header) {
    auto const is_digit = [](char digit) {
        return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f') || digit == '-';
    };
    bool const well_formed = header.size() >= header_length && header.starts_with("00-") &&
                             header[35] == '-' && header[52] == '-' &&
                             std::all_of(header.begin(), header.begin() + header_length, is_digit);
    if (!well_formed) {
        return {random_hex_digits(trace_digits), ""};
    }
    return {header.substr(trace_offset, trace_digits), header.substr(span_offset, span_digits)};
}

std::string trace_context::to_header() const {
    return "00-" + this->trace_id + "-" + this->span_id + "-01";
}

std::string trace_context::new_span_id() {
    return random_hex_digits(span_digits);
}

std::string spans_to_json(std::vector<span> const& spans, std::string const& service,
                          std::string const& host) {
    QJsonArray rows;
    for (auto const& value : spans) {
        rows.append(to_json(value));
    }
    QJsonObject const scope{{"scope", QJsonObject{{"name", "carawayd"}}}, {"spans", rows}};
    QJsonArray const attributes{attribute("service.name", service), attribute("host.name", host)};
    QJsonObject const resource{{"resource", QJsonObject{{"attributes", attributes}}},
                               {"scopeSpans", QJsonArray{scope}}};
    return QJsonDocument(QJsonObject{{"resourceSpans", QJsonArray{resource}}})
        .toJson(QJsonDocument::Compact)
        .toStdString();
}

} // namespace caraway
