#include "link/link_connection.hpp"

#include "link/codec.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace caraway {

namespace asio = boost::asio;

namespace {

constexpr std::size_t frame_header_bytes = 4;
constexpr std::size_t max_handshake_bytes = 1024;
constexpr std::size_t max_queued_bytes = 16'777'216;
/// Unsent messages of one link that take no charge.
constexpr std::size_t uncharged_queue_bytes = 65'536;
/// Longer bodies travel in parts.
constexpr std::size_t max_inline_body_bytes = 262'144;
constexpr std::size_t part_bytes = 65'536;

/// In the highest bits of a frame's size. An empty part announces that the sender takes bodies in parts.
constexpr std::size_t part_flag = 0x8000'0000;
constexpr std::size_t takes_parts_flag = 0x4000'0000;

std::string frame_header(std::size_t size) {
    std::string header(frame_header_bytes, '\0');
    for (std::size_t index = 0; index < frame_header_bytes; ++index) {
        header[frame_header_bytes - 1 - index] = static_cast<char>((size >> (8 * index)) & 0xFFU);
    }
    return header;
}

/// Null where the message has none.
message_body* find_body(message& content) {
    if (auto* request = std::get_if<forward_message>(&content)) {
        return &request->body;
    }
    auto* answer = std::get_if<answer_message>(&content);
    return answer == nullptr ? nullptr : &answer->body;
}

message_body const* find_body(message const& content) {
    return find_body(const_cast<message&>(content));
}

std::size_t frame_size(std::string_view bytes) {
    std::size_t size = 0;
    for (std::size_t index = 0; index < frame_header_bytes; ++index) {
        size = (size << 8U) | static_cast<unsigned char>(bytes[index]);
    }
    return size;
}

} // namespace

link_connection::link_connection(link_hub& owner, connection_id number, handshake::role role,
                                 asio::ip::tcp::socket opened)
    : hub(owner), id(number), peer_handshake(role, owner.identity, owner.secret),
      dialled(role == handshake::role::dialling), socket(std::move(opened)),
      arriving_charge(owner.body_limits.memory, held_for::links),
      queued_charge(owner.body_limits.memory, held_for::links) {}

void link_connection::dial(asio::ip::tcp::endpoint const& peer_endpoint) {
    this->socket.async_connect(peer_endpoint,
                               [self = this->shared_from_this()](boost::system::error_code error) {
                                   if (error) {
                                       return self->close_now();
                                   }
                                   self->start_reading();
                                   self->enqueue(self->peer_handshake.hello());
                               });
}

void link_connection::start_reading() {
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->read_more();
}

void link_connection::read_more() {
    this->socket.async_read_some(
        asio::buffer(this->read_buffer),
        [self = this->shared_from_this()](boost::system::error_code error, std::size_t size) {
            self->on_read(error, size);
        });
}

void link_connection::on_read(boost::system::error_code error, std::size_t size) {
    if (error) {
        return this->close_now();
    }
    this->incoming.append(this->read_buffer.data(), size);
    if (!this->consume_frames()) {
        return this->close_now();
    }
    this->read_more();
}

bool link_connection::consume_frames() {
    std::string_view unread(this->incoming);
    while (unread.size() >= frame_header_bytes) {
        auto const stated = frame_size(unread);
        // Before the handshake frames are small and have no flags, so that an unauthenticated peer can't make
        // the node allocate memory.
        auto const flags = this->authenticated ? stated & (part_flag | takes_parts_flag) : 0;
        auto const size = stated - flags;
        auto const limit = this->authenticated ? this->hub.max_message_bytes : max_handshake_bytes;
        if (size > ((flags & part_flag) != 0 ? part_bytes : limit)) {
            return this->report_refused(result_code::link_too_large);
        }
        if (unread.size() < frame_header_bytes + size) {
            break;
        }
        auto const content = unread.substr(frame_header_bytes, size);
        bool const is_handled = (flags & part_flag) != 0
                                    ? this->handle_part(content)
                                    : this->handle_message(content, (flags & takes_parts_flag) != 0);
        if (!is_handled) {
            return false;
        }
        unread.remove_prefix(frame_header_bytes + size);
    }
    this->incoming.erase(0, this->incoming.size() - unread.size());
    if (this->incoming.empty() && this->incoming.capacity() > this->read_buffer.size()) {
        this->incoming.shrink_to_fit();
    }
    return true;
}

bool link_connection::handle_part(std::string_view bytes) {
    if (bytes.empty()) {
        this->peer_takes_parts = true;
        return true;
    }
    if (this->arriving_body.size() + bytes.size() > this->hub.body_limits.max_body) {
        return this->report_refused(result_code::link_too_large);
    }
    if (this->arriving_body_was_dropped) {
        return true;
    }
    if (!this->arriving_charge.try_resize(this->arriving_body.held() + bytes.size())) {
        this->arriving_body = {};
        this->arriving_charge.release();
        this->arriving_body_was_dropped = true;
        return true;
    }
    this->arriving_body.append(bytes);
    return true;
}

void link_connection::attach_body(message& content, bool takes_parts) {
    auto* const body = find_body(content);
    if (body == nullptr) {
        return;
    }
    bool const is_request = std::holds_alternative<forward_message>(content);
    memory_charge charge(this->hub.body_limits.memory, is_request ? held_for::requests : held_for::answers);
    bool was_dropped = takes_parts && std::exchange(this->arriving_body_was_dropped, false);
    auto const size = takes_parts ? this->arriving_body.held() : body->size();
    if (takes_parts) {
        this->arriving_charge.release();
    }
    was_dropped = was_dropped || !charge.try_resize(size);
    if (takes_parts) {
        *body = this->arriving_body.finish();
    }
    body->hold(std::move(charge));
    if (was_dropped) {
        *body = {};
        is_request ? std::get<forward_message>(content).body_was_dropped = true
                   : std::get<answer_message>(content).body_was_dropped = true;
    }
}

bool link_connection::handle_message(std::string_view frame, bool takes_parts) {
    return attempt_or(
        [&]() -> result<bool> {
            BOOST_LEAF_AUTO(content, decode(frame));
            if (!this->authenticated) {
                return this->handle_handshake_message(content);
            }
            this->attach_body(content, takes_parts);
            return this->hub.report({.kind = link_event_kind::received,
                                     .connection = this->id,
                                     .dialled = this->dialled,
                                     .peer = this->peer_handshake.peer(),
                                     .content = std::move(content),
                                     .arrived = this->hub.loop.thread().current_arrival()});
        },
        [&](problem const& cause) { return this->report_refused(cause.code); });
}

bool link_connection::handle_handshake_message(message const& content) {
    return attempt_or(
        [&]() -> result<bool> {
            BOOST_LEAF_AUTO(reply, this->peer_handshake.receive(content));
            if (reply) {
                this->enqueue(*reply);
            }
            if (!this->peer_handshake.is_done()) {
                return true;
            }
            this->authenticated = true;
            if (this->dialled && this->peer_handshake.peer_takes_parts()) {
                this->peer_takes_parts = true;
                this->announce_parts();
            }
            return this->hub.report({.kind = link_event_kind::opened,
                                     .connection = this->id,
                                     .dialled = this->dialled,
                                     .peer = this->peer_handshake.peer()});
        },
        [&](problem const& cause) { return this->report_refused(cause.code); });
}

void link_connection::announce_parts() {
    this->enqueue_frame(frame_header(part_flag));
}

bool link_connection::report_refused(result_code code) {
    this->hub.report({.kind = link_event_kind::refused,
                      .connection = this->id,
                      .dialled = this->dialled,
                      .peer = this->peer_handshake.peer(),
                      .code = code});
    return false;
}

bool link_connection::send(message const& content) {
    return this->authenticated && this->enqueue(content);
}

bool link_connection::enqueue(message const& content) {
    auto const* body = find_body(content);
    if (body != nullptr && body->size() > max_inline_body_bytes) {
        if (this->peer_takes_parts) {
            return this->enqueue_with_parts(content, *body);
        }
        if (body->size() > this->hub.max_message_bytes) {
            return this->refuse_for_peer(content);
        }
    }
    auto const bytes = encode(content);
    return bytes.size() <= this->hub.max_message_bytes &&
           this->enqueue_frame(frame_header(bytes.size()) + bytes);
}

bool link_connection::enqueue_frame(std::string const& frame) {
    std::lock_guard const guard(this->mutex);
    auto const size = this->queued.size() + frame.size();
    bool const has_room =
        size <= max_queued_bytes && this->queued_charge.try_resize(size <= uncharged_queue_bytes ? 0 : size);
    if (this->is_closed || !has_room) {
        return false;
    }
    this->queued += frame;
    this->start_writing();
    return true;
}

bool link_connection::enqueue_with_parts(message const& content, message_body const& body) {
    auto stripped = content;
    *find_body(stripped) = {};
    auto const bytes = encode(stripped);
    std::lock_guard const guard(this->mutex);
    if (this->is_closed || bytes.size() > this->hub.max_message_bytes) {
        return false;
    }
    this->long_bodies.push_back(
        {.body = body, .message = frame_header(bytes.size() | takes_parts_flag) + bytes});
    this->start_writing();
    return true;
}

bool link_connection::refuse_for_peer(message const& content) {
    if (auto const* request = std::get_if<forward_message>(&content)) {
        return this->hub.report({.kind = link_event_kind::received,
                                 .connection = this->id,
                                 .dialled = this->dialled,
                                 .peer = this->peer_handshake.peer(),
                                 .content = answer_message{.call_id = request->call_id,
                                                           .result = outcome::not_run,
                                                           .code = result_code::node_busy,
                                                           .allowance_left = request->allowance},
                                 .arrived = this->hub.loop.thread().current_arrival()});
    }
    auto answer = std::get<answer_message>(content);
    answer.result = outcome::ran;
    answer.code = result_code::answer_dropped;
    answer.headers.clear();
    answer.body = {};
    return this->enqueue(answer);
}

void link_connection::start_writing() {
    if (!this->write_active) {
        this->write_active = true;
        // The write is posted, so that messages that the current handler sends leave together.
        asio::post(this->hub.context, [self = this->shared_from_this()] { self->write_more(); });
    }
}

void link_connection::prepare_part() {
    auto& next = this->long_bodies.front();
    this->part_owner = next.body;
    this->part = this->part_owner.view().substr(next.sent, part_bytes);
    this->part_header = frame_header(this->part.size() | part_flag);
    next.sent += this->part.size();
    if (next.sent == this->part_owner.size()) {
        this->part_message = std::move(next.message);
        this->long_bodies.pop_front();
    }
}

void link_connection::write_more() {
    {
        std::lock_guard const guard(this->mutex);
        this->write_buffer.clear();
        this->part_header.clear();
        this->part = {};
        this->part_message.clear();
        this->part_owner = {};
        this->write_buffer.swap(this->queued);
        this->queued_charge.release();
        if (!this->long_bodies.empty() && !this->is_closed) {
            this->prepare_part();
        }
        this->write_active = !this->is_closed && !(this->write_buffer.empty() && this->part.empty());
        if (!this->write_active) {
            return;
        }
    }
    std::array<asio::const_buffer, 4> const buffers{asio::buffer(this->write_buffer),
                                                    asio::buffer(this->part_header), asio::buffer(this->part),
                                                    asio::buffer(this->part_message)};
    this->hub.sent_bytes += asio::buffer_size(buffers);
    asio::async_write(this->socket, buffers,
                      [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                          self->on_written(error);
                      });
}

void link_connection::on_written(boost::system::error_code error) {
    if (error) {
        return this->close_now();
    }
    this->write_more();
}

void link_connection::close() {
    asio::post(this->hub.context, [self = this->shared_from_this()] { self->close_now(); });
}

void link_connection::close_now() {
    {
        std::lock_guard const guard(this->mutex);
        if (this->is_closed) {
            return;
        }
        this->is_closed = true;
        this->long_bodies.clear();
        this->queued.clear();
        this->queued_charge.release();
    }
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->hub.report({.kind = link_event_kind::closed,
                      .connection = this->id,
                      .dialled = this->dialled,
                      .peer = this->peer_handshake.peer()});
    this->hub.remove_connection(this->id);
}

} // namespace caraway
