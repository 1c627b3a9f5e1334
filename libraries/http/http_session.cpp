#include "http/http_session.hpp"

#include "base/digest.hpp"
#include "http/header_rules.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace caraway {

namespace http = boost::beast::http;

namespace {

/// Most bytes of a request id, and of each other value that the listener reads itself; the rest is cut off.
/// Keys are read whole.
constexpr std::size_t max_request_id_bytes = 512;
constexpr std::size_t max_header_value_bytes = 512;
constexpr std::size_t linger_chunk_bytes = 16'384;
/// Most bytes of further requests that are received while the pipeline is full.
constexpr std::size_t max_read_ahead_bytes = 65'536;
/// Most bytes that are discarded after the last answer; more than callers commonly have in transit.
constexpr std::size_t max_linger_bytes = 2'097'152;
/// Most bytes that a connection holds unparsed, unless the limit of the header is larger. The parser limits
/// the header and the body, but neither the line before a chunk nor the trailer, which it needs whole.
constexpr std::size_t min_read_buffer_bytes = max_read_ahead_bytes + linger_chunk_bytes;
/// Time for the peer to close the connection after the last answer.
constexpr duration linger_timeout{2000};
constexpr std::size_t min_receive_bytes = 512;
constexpr std::size_t max_receive_bytes = 65'536;
/// A body of which so much has arrived is received in larger pieces.
constexpr std::size_t long_body_bytes = 4096;
constexpr std::size_t long_body_receive_bytes = 16'384;
/// What a connection may take without a charge.
constexpr std::size_t uncharged_bytes = 4096;
/// For requests that are refused because the node lacks memory.
constexpr double memory_retry_after_ms = 1000;

std::string header_value(http::request<received_body> const& request, std::string_view name) {
    auto const value = request[boost::beast::string_view(name.data(), name.size())];
    return {value.data(), std::min(value.size(), max_header_value_bytes)};
}

std::string key_hash(http::request<received_body> const& request, http_dialect const& dialect) {
    auto const value = request[dialect.key];
    std::string_view const text(value.data(), value.size());
    if (!text.starts_with(dialect.key_prefix) || text.size() == dialect.key_prefix.size()) {
        return {};
    }
    return sha256_hex(text.substr(dialect.key_prefix.size()));
}

double number_or_zero(std::string const& text) {
    double number = 0;
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc{} && std::isfinite(number) && number > 0 ? number : 0;
}

listener_request to_listener_request(http::request<received_body> const& request,
                                     http_dialect const& dialect) {
    listener_request converted;
    converted.method = std::string(request.method_string());
    converted.authority = header_value(request, "Host");
    converted.path = std::string(request.target());
    converted.key_sha256 = key_hash(request, dialect);
    converted.request_id = header_value(request, dialect.request_id).substr(0, max_request_id_bytes);
    converted.timeout_ms = number_or_zero(header_value(request, dialect.timeout));
    if (dialect.has_extension_headers) {
        converted.context_token = header_value(request, header::context);
        converted.idempotency_key = header_value(request, header::idempotency_key);
        converted.traceparent = header_value(request, header::traceparent);
    }
    for (auto const& field : request) {
        std::string_view const name(field.name_string().data(), field.name_string().size());
        if (!dialect.is_stripped(name)) {
            converted.headers.push_back({std::string(name), std::string(field.value())});
        }
    }
    return converted;
}

std::string retry_after_text(double milliseconds, http_dialect const& dialect) {
    if (!dialect.retry_after_has_fractions) {
        return std::to_string(std::max<long long>(1, std::llround(std::ceil(milliseconds / 1000))));
    }
    std::array<char, 32> text{};
    auto const written = std::snprintf(text.data(), text.size(), "%.2f", std::max(10.0, milliseconds) / 1000);
    return {text.data(), static_cast<std::size_t>(written)};
}

/// Replaces a status that contradicts the outcome. A status that means "not run" must be sent only if the
/// request has not run, because callers retry on it.
std::uint16_t status_for_outcome(listener_answer const& answer, http_dialect const& dialect) {
    if (!answer.metadata || answer.metadata->code == result_code::ok) {
        return answer.status;
    }
    bool const has_not_run = answer.metadata->result == outcome::not_run;
    if (dialect.statuses_mean_not_run && has_not_run && answer.status >= 500) {
        return 503;
    }
    return !has_not_run && dialect.means_not_run(answer.status) ? 502 : answer.status;
}

/// Whether a response with this status ends with its header (RFC 9112, section 6.3).
bool has_no_content(http::status status) {
    return status == http::status::no_content || status == http::status::not_modified;
}

} // namespace

http_session::http_session(http_listener& owner, boost::asio::ip::tcp::socket socket)
    : listener(owner), open_connections(owner.open_connections), stream(std::move(socket)),
      buffer(std::max(min_read_buffer_bytes, owner.options.max_header)),
      arriving_charge(owner.options.memory, held_for::requests), arrival_progress(monotonic_clock::now()),
      last_activity(monotonic_clock::now()) {
    ++*this->open_connections;
    boost::system::error_code ignored;
    this->stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

http_session::~http_session() {
    --*this->open_connections;
}

void http_session::read() {
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->header_limit(static_cast<std::uint32_t>(this->listener.options.max_header));
    this->parser->body_limit(this->listener.options.max_body);
    this->parsed_bytes = 0;
    this->header_began.reset();
    this->header_is_overdue = false;
    this->reading = true;
    if (this->buffer.size() == 0) {
        return this->receive();
    }
    boost::asio::post(this->stream.get_executor(),
                      [self = this->shared_from_this()] { self->on_received({}, 0); });
}

void http_session::receive() {
    this->reading = true;
    auto const size = this->buffer.size();
    auto const wanted = std::clamp(this->buffer.capacity() - size, min_receive_bytes, max_receive_bytes);
    this->stream.async_read_some(
        this->buffer.prepare(std::min(wanted, this->buffer.max_size() - size)),
        [self = this->shared_from_this()](boost::system::error_code error, std::size_t received) {
            self->on_received(error, received);
        });
}

void http_session::on_received(boost::system::error_code error, std::size_t size) {
    this->reading = false;
    // A refusal cancels the read that it interrupts.
    bool const is_gone = error && error != boost::asio::error::operation_aborted;
    if (this->lingering) {
        return is_gone ? this->stream.close() : this->linger();
    }
    if (this->refused) {
        this->free_buffer();
        return is_gone ? this->disconnect() : this->continue_reading();
    }
    this->buffer.commit(size);
    if (error == boost::asio::error::eof) {
        error = this->parser->got_some() ? http::error::partial_message : http::error::end_of_stream;
    }
    if (error) {
        return this->on_read_error(error);
    }
    this->parse_received();
}

void http_session::parse_received() {
    auto const now = monotonic_clock::now();
    bool const is_new = !this->parser->got_some();
    boost::system::error_code error;
    auto const used = this->parser->put(this->buffer.data(), error);
    this->buffer.consume(used);
    this->parsed_bytes += used;
    if (error && error != http::error::need_more) {
        return this->on_read_error(error);
    }
    if (this->parser->is_done()) {
        return this->on_request();
    }
    this->arrival_progress = is_new ? transfer_progress(now) : this->arrival_progress;
    this->arrival_progress.record(used, now);
    if (this->parser->is_header_done()) {
        this->header_began.reset();
        this->header_is_overdue = false;
    } else {
        this->header_began = this->header_began.value_or(now);
    }
    if (!this->charge_arriving()) {
        return this->refuse_arriving();
    }
    if (this->buffer.size() == this->buffer.max_size()) {
        return this->on_read_error(http::error::buffer_overflow);
    }
    if (this->parser->get().body().size() >= long_body_bytes) {
        this->buffer.reserve(long_body_receive_bytes);
    }
    this->receive();
}

std::size_t http_session::arriving_bytes() const {
    bool const is_arriving = this->parser && this->parser->got_some() && !this->parser->is_done() &&
                             !this->refused && !this->lingering && this->is_open();
    return is_arriving ? this->arriving_charge.size() : 0;
}

std::size_t http_session::arriving_size() const {
    auto const& body = this->parser->get().body();
    // Lines between chunks have been parsed, and are not kept.
    auto const header = std::min(this->parsed_bytes - body.size(), this->listener.options.max_header);
    return header + body.held();
}

bool http_session::charge_arriving() {
    auto const held = this->buffer.capacity() + this->arriving_size();
    return this->arriving_charge.try_resize(held <= uncharged_bytes ? 0 : held, this);
}

void http_session::on_request() {
    this->last_activity = monotonic_clock::now();
    this->has_sent_request = true;
    this->header_began.reset();
    this->header_is_overdue = false;
    auto const& dialect = this->listener.options.dialect;
    auto const size = this->arriving_size();
    auto request = this->parser->release();
    bool const keep_alive = request.keep_alive();
    bool const is_head = request.method() == http::verb::head;
    // Two lengths, or a length with chunked encoding, let two parsers see two different requests (request
    // smuggling). Two keys or two hosts are ambiguous in the same way.
    bool const has_ambiguous_length = request.count(http::field::content_length) > 1 ||
                                      (request.count(http::field::content_length) > 0 && request.chunked());
    // The parser takes any other coding for no body, and the body for a further request.
    bool const has_unknown_coding =
        request.count(http::field::transfer_encoding) > 0 &&
        (request.count(http::field::transfer_encoding) > 1 || request.version() < 11 ||
         !boost::beast::iequals(request[http::field::transfer_encoding], "chunked"));
    bool const has_duplicates = request.count(dialect.key) > 1 || request.count(http::field::host) > 1;
    if (has_ambiguous_length || has_unknown_coding || has_duplicates) {
        return this->answer_error(result_code::request_malformed, false, is_head);
    }
    auto converted = to_listener_request(request, dialect);
    auto body = this->take_body(std::move(request.body()), size);
    if (!body) {
        return this->answer_error(result_code::node_busy, keep_alive, is_head);
    }
    converted.body = std::move(*body);
    auto const id = this->listener.next_id++;
    converted.id = id;
    converted.side = this->listener.options.side;
    converted.arrived = this->listener.loop.thread().current_arrival();
    this->listener.sessions_by_request[id] = this->shared_from_this();
    if (!this->listener.events.request(std::move(converted))) {
        this->listener.sessions_by_request.erase(id);
        return this->answer_error(result_code::node_busy, keep_alive, is_head);
    }
    this->add_pending({.id = id, .keep_alive = keep_alive, .is_head = is_head});
    this->closing = this->closing || !keep_alive;
    this->continue_reading();
}

std::optional<message_body> http_session::take_body(body_builder&& body, std::size_t size) {
    if (this->buffer.size() == 0 && this->buffer.capacity() > uncharged_bytes) {
        this->buffer.shrink_to_fit();
    }
    auto const kept = this->buffer.capacity() <= uncharged_bytes ? 0 : this->buffer.capacity();
    // Shrinks first, so that the request itself always fits where it has been charged while it arrived.
    this->arriving_charge.try_resize(std::min(this->arriving_charge.size(), kept));
    memory_charge charge(this->listener.options.memory, held_for::requests);
    if (body.size() == 0 && size <= uncharged_bytes) {
        return message_body();
    }
    if (!charge.try_resize(size, this)) {
        return std::nullopt;
    }
    return body.finish(std::move(charge));
}

void http_session::drop_arriving() {
    this->refused = true;
    this->parser->get().body().give_up();
    this->arriving_charge.release();
    this->header_began.reset();
    if (!this->reading) {
        return this->free_buffer();
    }
    // The buffer can be freed once nothing is received into it. An earlier answer is still written to its
    // end.
    if (!this->writing) {
        boost::system::error_code ignored;
        this->stream.socket().cancel(ignored);
    }
}

void http_session::free_buffer() {
    this->buffer.clear();
    this->buffer.shrink_to_fit();
}

void http_session::refuse_arriving() {
    ++this->listener.displaced_connections;
    this->drop_arriving();
    this->answer_error(result_code::node_busy, false, false);
}

void http_session::continue_reading() {
    if (this->reading || this->lingering) {
        return;
    }
    bool const is_ending = this->closing || (this->listener.draining && !this->pending.empty());
    if (!is_ending && this->pending.size() < this->listener.options.max_pipeline) {
        return this->read();
    }
    this->watch_for_disconnect();
}

void http_session::on_read_error(boost::system::error_code error) {
    bool const disconnected =
        error == http::error::end_of_stream || error == boost::asio::error::operation_aborted ||
        error == boost::beast::error::timeout || error.category() == boost::system::system_category();
    if (disconnected) {
        // There is no one to answer: the peer is gone, or it closed the connection between requests.
        return this->disconnect();
    }
    auto code = result_code::request_malformed;
    if (error == http::error::body_limit) {
        code = result_code::body_too_large;
    } else if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        code = result_code::header_too_large;
    }
    ++this->listener.unreadable_requests;
    this->drop_arriving();
    this->answer_error(code, false, false);
}

void http_session::answer_error(result_code code, bool keep_alive, bool is_head) {
    auto const& entry = describe(code);
    listener_answer answer{.status = entry.http_status, .body = std::string(entry.name) + "\n"};
    answer.metadata = answer_metadata{.result = outcome::not_run,
                                      .code = code,
                                      .retry_after_ms = entry.http_status == 503 ? memory_retry_after_ms : 0};
    this->add_pending({.keep_alive = keep_alive, .is_head = is_head, .answer = std::move(answer)});
    this->closing = this->closing || !keep_alive;
    this->write_next();
    this->continue_reading();
}

void http_session::add_pending(pending_request&& request) {
    this->pending.push_back(std::move(request));
    ++this->listener.unanswered;
}

void http_session::watch_for_disconnect() {
    bool const has_room = this->buffer.size() < max_read_ahead_bytes;
    if (this->watching || !has_room || !this->stream.socket().is_open()) {
        return;
    }
    this->watching = true;
    this->stream.socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                                     [weak = this->weak_from_this()](boost::system::error_code error) {
                                         if (auto const self = weak.lock()) {
                                             self->watching = false;
                                             self->check_disconnected(error);
                                         }
                                     });
}

void http_session::check_disconnected(boost::system::error_code error) {
    if (error || this->reading || this->pending.empty()) {
        return;
    }
    // What has arrived is received, since the end of the stream may be behind it.
    bool const is_kept = !this->closing && !this->listener.draining;
    auto const received = this->receive_ready(is_kept ? this->buffer.prepare(linger_chunk_bytes)
                                                      : boost::asio::buffer(this->listener.discarded));
    if (!received) {
        return this->disconnect();
    }
    if (*received > 0 && !this->keep_read_ahead(*received)) {
        return;
    }
    this->watch_for_disconnect();
}

std::optional<std::size_t> http_session::receive_ready(boost::asio::mutable_buffer room) {
    auto const received =
        ::recv(this->stream.socket().native_handle(), room.data(), room.size(), MSG_DONTWAIT);
    bool const is_empty = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    if (received <= 0 && !is_empty) {
        return std::nullopt;
    }
    return is_empty ? 0 : static_cast<std::size_t>(received);
}

bool http_session::keep_read_ahead(std::size_t size) {
    if (!this->closing && !this->listener.draining) {
        this->buffer.commit(size);
        return this->buffer.size() < max_read_ahead_bytes &&
               this->arriving_charge.try_resize(this->buffer.capacity(), this);
    }
    this->lingered_bytes += size; // Not committed: no further request is read.
    return this->lingered_bytes <= max_linger_bytes;
}

void http_session::disconnect() {
    auto const unanswered = std::exchange(this->pending, {});
    this->listener.unanswered -= unanswered.size();
    for (auto const& request : unanswered) {
        if (request.id != 0 && !request.answer) {
            this->listener.events.disconnected(request.id);
            this->listener.sessions_by_request.erase(request.id);
        }
    }
    this->closing = true;
    this->stream.close();
}

void http_session::accept_answer(listener_answer&& answer) {
    auto const found = std::ranges::find(this->pending, answer.id, &pending_request::id);
    if (found == this->pending.end()) {
        return;
    }
    found->answer = std::move(answer);
    this->write_next();
}

void http_session::write_next() {
    if (this->writing || this->pending.empty() || !this->pending.front().answer) {
        return;
    }
    auto request = std::move(this->pending.front());
    this->pending.pop_front();
    // Requests that were read after this one keep the connection open for their answers.
    bool const is_last =
        this->pending.empty() && (!request.keep_alive || this->listener.draining || this->closing);
    this->closing = this->closing || is_last;
    this->response.emplace(this->make_response(std::move(request), !is_last));
    this->serializer.emplace(*this->response);
    this->answer_progress = transfer_progress(monotonic_clock::now());
    this->writing = true;
    this->write_more();
}

void http_session::write_more() {
    http::async_write_some(
        this->stream, *this->serializer,
        [self = this->shared_from_this()](boost::system::error_code error, std::size_t sent) {
            if (!error && !self->serializer->is_done()) {
                self->answer_progress.record(sent, monotonic_clock::now());
                return self->write_more();
            }
            self->on_written(error, self->response->keep_alive());
        });
}

void http_session::on_written(boost::system::error_code error, bool keep_alive) {
    this->writing = false;
    --this->listener.unanswered;
    this->serializer.reset();
    this->response.reset();
    this->last_activity = monotonic_clock::now();
    if (error) {
        return this->disconnect();
    }
    if (!keep_alive) {
        return this->linger();
    }
    this->write_next();
    this->continue_reading();
}

http_session::response_type http_session::make_response(pending_request&& request, bool keep_alive) const {
    auto const& dialect = this->listener.options.dialect;
    auto& answer = *request.answer;
    response_type reply(static_cast<http::status>(status_for_outcome(answer, dialect)), 11);
    for (auto const& field : answer.headers) {
        reply.insert(field.name, field.value);
    }
    if (auto const& metadata = answer.metadata) {
        if (dialect.has_extension_headers) {
            reply.set(std::string(header::result_outcome), std::string(name_of(metadata->result)));
            reply.set(std::string(header::result_code), std::to_string(static_cast<int>(metadata->code)));
        }
        if (!metadata->request_id.empty()) {
            reply.set(dialect.request_id, metadata->request_id);
        }
        if (!metadata->ticket.empty() && dialect.has_extension_headers) {
            reply.set(std::string(header::idempotency_key), metadata->ticket);
        }
        if (metadata->retry_after_ms > 0 && metadata->result != outcome::ran) {
            reply.set("Retry-After", retry_after_text(metadata->retry_after_ms, dialect));
        }
    }
    reply.keep_alive(keep_alive);
    if (has_no_content(reply.result()) || (request.is_head && answer.body.empty())) {
        return reply; // Without a length: none may be stated, or that of the answer to a GET is not known.
    }
    reply.body() = std::move(answer.body);
    reply.prepare_payload();
    if (request.is_head) {
        reply.body() = {};
    }
    return reply;
}

void http_session::linger() {
    this->lingering = true;
    boost::system::error_code ignored;
    this->stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    if (this->reading) {
        return;
    }
    this->free_buffer();
    this->reading = true;
    this->stream.socket().async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [self = this->shared_from_this()](boost::system::error_code error) {
            self->reading = false;
            auto const size =
                error ? std::nullopt : self->receive_ready(boost::asio::buffer(self->listener.discarded));
            self->lingered_bytes += size.value_or(0);
            if (!size || self->lingered_bytes > max_linger_bytes) {
                return self->stream.close();
            }
            self->linger();
        });
}

void http_session::close_if_idle() {
    if (this->pending.empty() && !this->writing) {
        this->stream.close();
    }
}

void http_session::close_if_timed_out(time_point now) {
    auto const limit = this->lingering ? linger_timeout : duration{this->listener.options.idle_timeout_ms};
    // A pending request ends by its own time limit.
    bool const waits_for_node = !this->pending.empty() && !this->writing;
    auto const active = this->is_transferring(now) ? this->last_progress() : this->last_activity;
    bool const is_idle = !waits_for_node && now - active >= limit;
    // What has arrived is read before the next check: the process may have stood still.
    bool const is_overdue = this->header_is_overdue;
    this->header_is_overdue =
        this->header_began && now - *this->header_began >= duration{this->listener.options.header_timeout_ms};
    if (is_idle || (is_overdue && this->header_is_overdue)) {
        this->disconnect();
    }
}

bool http_session::is_transferring(time_point now) const {
    if (this->writing) {
        return !this->is_read_too_slowly(now);
    }
    return this->parser && this->parser->is_header_done() && !this->parser->is_done() &&
           !this->arrives_too_slowly(now);
}

http_session::place_use http_session::use_of_place(time_point now) const {
    if (this->lingering) {
        return place_use::none;
    }
    if (this->writing) {
        return this->is_read_too_slowly(now) ? place_use::stalled : place_use::in_use;
    }
    if (!this->pending.empty()) {
        return place_use::in_use;
    }
    if (!this->parser || !this->parser->got_some()) {
        return this->has_sent_request ? place_use::idle : place_use::unproven;
    }
    return this->is_transferring(now) ? place_use::in_use : place_use::unproven;
}

time_point http_session::last_progress() const {
    return std::max(
        {this->last_activity, this->arrival_progress.last_progress(), this->answer_progress.last_progress()});
}

void http_session::abandon_answers() {
    ++this->listener.displaced_connections;
    if (this->response) {
        this->response->body().release_charge();
    }
    this->disconnect();
}

} // namespace caraway
