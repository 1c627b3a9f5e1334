#include "http/strict_response_parser.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace caraway {

namespace http = boost::beast::http;

namespace {

/// Whether the value is on the same line as its name. Beast joins the lines of a folded value in a buffer of
/// its own, and otherwise passes name and value as parts of one buffer.
bool is_on_one_line(boost::beast::string_view name, boost::beast::string_view value) {
    char const* position = name.data() + name.size() + 1; // Behind the colon.
    while (*position == ' ' || *position == '\t') {
        ++position;
    }
    return position == value.data();
}

/// Whether another parser could see another end of the body.
bool has_ambiguous_framing(strict_response_parser::response_type const& response) {
    auto const codings = response.count(http::field::transfer_encoding);
    auto const lengths = response.count(http::field::content_length);
    bool const is_chunked =
        codings == 1 && boost::beast::iequals(response[http::field::transfer_encoding], "chunked");
    return lengths > 1 || (codings > 0 && (!is_chunked || lengths > 0));
}

} // namespace

strict_response_parser::strict_response_parser(response_limits limits, accepted_statuses accepted_ones)
    : accepted(accepted_ones) {
    this->header_limit(static_cast<std::uint32_t>(limits.header));
    this->body_limit(limits.body);
}

void strict_response_parser::on_request_impl(http::verb, string_view, string_view, int, error_code&) {}

void strict_response_parser::on_response_impl(int status, string_view reason, int version,
                                              error_code& error) {
    auto const code = static_cast<unsigned int>(status);
    bool const is_expected_interim =
        this->accepted == accepted_statuses::interim_and_final && is_interim_status(code);
    if (!is_final_status(code) && !is_expected_interim) {
        error = http::error::bad_status;
        return;
    }
    this->response.result(code);
    this->response.reason(reason);
    this->response.version(static_cast<unsigned int>(version));
}

void strict_response_parser::on_field_impl(http::field field, string_view name, string_view value,
                                           error_code& error) {
    if (!is_on_one_line(name, value)) {
        error = http::error::bad_obs_fold;
        return;
    }
    if (this->is_in_trailer) {
        return;
    }
    this->response.insert(field, name, value);
}

void strict_response_parser::on_header_impl(error_code& error) {
    if (!this->is_interim() && has_ambiguous_framing(this->response)) {
        error = http::error::bad_transfer_encoding;
    }
}

void strict_response_parser::on_body_init_impl(boost::optional<std::uint64_t> const& length, error_code&) {
    if (length) {
        this->response.body().expect(static_cast<std::size_t>(*length));
    }
}

std::size_t strict_response_parser::on_body_impl(string_view bytes, error_code&) {
    this->response.body().append({bytes.data(), bytes.size()});
    return bytes.size();
}

void strict_response_parser::on_chunk_header_impl(std::uint64_t size, string_view, error_code&) {
    this->is_in_trailer = size == 0;
}

std::size_t strict_response_parser::on_chunk_body_impl(std::uint64_t, string_view bytes, error_code& error) {
    return this->on_body_impl(bytes, error);
}

void strict_response_parser::on_finish_impl(error_code&) {}

} // namespace caraway
