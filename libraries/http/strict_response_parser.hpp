/// Parser for HTTP/1.1 responses that refuses what can't be read in exactly one way (RFC 9110, RFC 9112).
///
/// Boost.Beast leaves some of this to its user: it accepts any three digits as a status, joins the lines of a
/// folded value, and adds the fields of a trailer to those of the header.
#pragma once

#include "http/message_bodies.hpp"
#include "http/status_rules.hpp"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/message.hpp>

#include <cstddef>
#include <cstdint>

namespace caraway {

enum class accepted_statuses : std::uint8_t { final_only, interim_and_final };

/// In bytes.
struct response_limits {
    std::size_t header{0};
    std::size_t body{0};
};

/// Used with Beast's read operations, which report a refused response as their error. Reads one response,
/// interim or final; `response_reader` joins them.
class strict_response_parser : public boost::beast::http::basic_parser<false> {
public:
    using response_type = boost::beast::http::response<received_body>;

    strict_response_parser(response_limits limits, accepted_statuses accepted);

    /// Whether the response that has been read is followed by another one to the same request.
    bool is_interim() const { return is_interim_status(this->response.result_int()); }

    response_type release() { return std::move(this->response); }
    /// What has been read of the body.
    body_builder const& received() const { return this->response.body(); }

private:
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb method, string_view method_text, string_view target,
                         int version, error_code& error) override;
    void on_response_impl(int status, string_view reason, int version, error_code& error) override;
    void on_field_impl(boost::beast::http::field field, string_view name, string_view value,
                       error_code& error) override;
    void on_header_impl(error_code& error) override;
    void on_body_init_impl(boost::optional<std::uint64_t> const& length, error_code& error) override;
    std::size_t on_body_impl(string_view bytes, error_code& error) override;
    void on_chunk_header_impl(std::uint64_t size, string_view extensions, error_code& error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remaining, string_view bytes, error_code& error) override;
    void on_finish_impl(error_code& error) override;

    accepted_statuses accepted;
    response_type response;
    bool is_in_trailer{false}; ///< Its fields are discarded (RFC 9110, section 6.5.1).
};

} // namespace caraway
