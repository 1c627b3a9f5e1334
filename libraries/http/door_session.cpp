#include "http/door_session.hpp"

#include "base/digest.hpp"
#include "http/header_rules.hpp"

#include <boost/asio/post.hpp>

#include <charconv>
#include <chrono>
#include <cmath>

namespace caraway {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::size_t max_request_id = 64;
constexpr std::size_t max_small_header = 512;

std::string text_of(http::request<http::string_body> const& request, std::string_view name) {
    auto const value = request[boost::beast::string_view(name.data(), name.size())];
    return {value.data(), std::min(value.size(), max_small_header)};
}

std::string key_hash(http::request<http::string_body> const& request) {
    auto const value = request[http::field::authorization];
    std::string_view const text(value.data(), value.size());
    if (!text.starts_with(bearer_prefix) || text.size() == bearer_prefix.size()) {
        return {};
    }
    return sha256_hex(text.substr(bearer_prefix.size()));
}

double number_or_zero(std::string const& text) {
    double number = 0;
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc{} && std::isfinite(number) && number > 0 ? number : 0;
}

door_request convert(http::request<http::string_body>&& request) {
    door_request converted;
    converted.method = std::string(request.method_string());
    converted.path = std::string(request.target());
    converted.key_sha256 = key_hash(request);
    converted.context_token = text_of(request, header::context);
    converted.idempotency_key = text_of(request, header::idempotency_key);
    converted.request_id = text_of(request, header::request_id).substr(0, max_request_id);
    converted.traceparent = text_of(request, header::traceparent);
    converted.timeout_ms = number_or_zero(text_of(request, header::timeout));
    for (auto const& field : request) {
        std::string_view const name(field.name_string().data(), field.name_string().size());
        if (!header::is_private(name)) {
            converted.headers.push_back({std::string(name), std::string(field.value())});
        }
    }
    converted.body = std::move(request.body());
    return converted;
}

std::chrono::milliseconds rounded(double milliseconds) {
    return std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds));
}

} // namespace

door_session::door_session(door& owner, boost::asio::ip::tcp::socket socket)
    : server(owner), stream(std::move(socket)) {
    ++this->server.open_connections;
    boost::system::error_code ignored;
    this->stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

door_session::~door_session() {
    --this->server.open_connections;
}

void door_session::read() {
    this->parser.emplace();
    this->parser->header_limit(static_cast<std::uint32_t>(this->server.options.max_header));
    this->parser->body_limit(this->server.options.max_body);
    this->stream.expires_after(rounded(this->server.options.idle_timeout_ms));
    http::async_read(this->stream, this->buffer, *this->parser,
                     [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                         self->on_read(error);
                     });
}

void door_session::on_read(boost::system::error_code error) {
    if (error) {
        return this->refuse(error);
    }
    this->stream.expires_never();
    auto request = this->parser->release();
    this->keep_alive = request.keep_alive();
    this->head = request.method() == http::verb::head;
    // Two lengths, or a length beside chunks, let two readers see two different requests.
    bool const ambiguous = request.count(http::field::content_length) > 1 ||
                           (request.count(http::field::content_length) > 0 && request.chunked());
    if (ambiguous || request.count(http::field::authorization) > 1) {
        return this->send_problem(result_code::request_malformed, false);
    }
    auto converted = convert(std::move(request));
    converted.id = this->server.next_id++;
    converted.side = this->server.options.side;
    this->current = converted.id;
    this->server.waiting[this->current] = this->shared_from_this();
    if (!this->server.events.request(std::move(converted))) {
        this->server.waiting.erase(this->current);
        return this->send_problem(result_code::node_busy, this->keep_alive);
    }
    this->watch_for_hang_up();
}

void door_session::refuse(boost::system::error_code error) {
    bool const silent =
        error == http::error::end_of_stream || error == boost::asio::error::operation_aborted ||
        error == boost::beast::error::timeout || error.category() == boost::system::system_category();
    if (silent) {
        // The answer to this would have no reader, or the request never began.
        return;
    }
    auto code = result_code::request_malformed;
    if (error == http::error::body_limit) {
        code = result_code::body_too_large;
    } else if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        code = result_code::header_too_large;
    }
    ++this->server.refused;
    this->send_problem(code, false);
}

void door_session::watch_for_hang_up() {
    this->stream.socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                                     [weak = this->weak_from_this()](boost::system::error_code error) {
                                         if (auto const self = weak.lock()) {
                                             self->on_readable(error);
                                         }
                                     });
}

void door_session::on_readable(boost::system::error_code error) {
    if (error || this->current == 0) {
        return;
    }
    char byte = 0;
    auto const got = ::recv(this->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    bool const gone = got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    if (!gone) {
        // More bytes are a pipelined request; they stay in the socket until this one is answered.
        return;
    }
    auto const id = std::exchange(this->current, 0);
    this->server.events.hang_up(id);
    this->stream.close();
    this->server.waiting.erase(id);
}

void door_session::write(door_answer&& answer) {
    this->current = 0;
    this->stream.socket().cancel();
    bool const stay = this->keep_alive && !this->server.draining;
    this->send(answer.status, answer.headers, std::move(answer.body), stay);
}

void door_session::send_problem(result_code code, bool stay) {
    auto const& entry = describe(code);
    this->current = 0;
    header_list const headers{{std::string(header::result_outcome), std::string(name_of(outcome::not_run))},
                              {std::string(header::result_code), std::to_string(static_cast<int>(code))}};
    this->send(entry.http_status, headers, std::string(entry.name) + "\n", stay);
}

void door_session::send(std::uint16_t status, header_list const& headers, std::string body, bool stay) {
    this->response.emplace(static_cast<http::status>(status), 11);
    for (auto const& field : headers) {
        this->response->insert(field.name, field.value);
    }
    this->response->body() = std::move(body);
    this->response->keep_alive(stay);
    this->response->prepare_payload();
    if (this->head) {
        this->response->body().clear();
    }
    this->writing = true;
    this->stream.expires_after(rounded(this->server.options.idle_timeout_ms));
    http::async_write(this->stream, *this->response,
                      [self = this->shared_from_this(), stay](boost::system::error_code error, std::size_t) {
                          self->writing = false;
                          if (error) {
                              return;
                          }
                          if (!stay) {
                              boost::system::error_code ignored;
                              self->stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                                                             ignored);
                              return;
                          }
                          self->read();
                      });
}

void door_session::close_if_idle() {
    if (this->current == 0 && !this->writing) {
        this->stream.close();
    }
}

} // namespace caraway
