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

std::string frame_header(std::size_t size) {
    std::string header(frame_header_bytes, '\0');
    for (std::size_t index = 0; index < frame_header_bytes; ++index) {
        header[frame_header_bytes - 1 - index] = static_cast<char>((size >> (8 * index)) & 0xFFU);
    }
    return header;
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
        auto const size = frame_size(unread);
        // Frames are small before the handshake, so that an unauthenticated peer can't make the node allocate
        // memory.
        if (size > (this->authenticated ? this->hub.max_message_bytes : max_handshake_bytes)) {
            return this->report_refused(result_code::link_too_large);
        }
        if (unread.size() < frame_header_bytes + size) {
            break;
        }
        if (!this->handle_message(unread.substr(frame_header_bytes, size))) {
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

void link_connection::charge_body(message& content) {
    auto const charge = [this](auto& carrier, held_for purpose) {
        memory_charge drawn(this->hub.body_limits.memory, purpose);
        carrier.body_was_dropped = !drawn.try_resize(carrier.body.size());
        if (carrier.body_was_dropped) {
            carrier.body = {};
        }
        carrier.body.hold(std::move(drawn));
    };
    if (auto* request = std::get_if<forward_message>(&content)) {
        charge(*request, held_for::requests);
    } else if (auto* answer = std::get_if<answer_message>(&content)) {
        charge(*answer, held_for::answers);
    }
}

bool link_connection::handle_message(std::string_view frame) {
    return attempt_or(
        [&]() -> result<bool> {
            BOOST_LEAF_AUTO(content, decode(frame));
            if (!this->authenticated) {
                return this->handle_handshake_message(content);
            }
            this->charge_body(content);
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
            return this->hub.report({.kind = link_event_kind::opened,
                                     .connection = this->id,
                                     .dialled = this->dialled,
                                     .peer = this->peer_handshake.peer()});
        },
        [&](problem const& cause) { return this->report_refused(cause.code); });
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
    auto const bytes = encode(content);
    if (bytes.size() > this->hub.max_message_bytes) {
        return false;
    }
    std::lock_guard const guard(this->mutex);
    auto const size = this->queued.size() + bytes.size();
    bool const has_room =
        size <= max_queued_bytes && this->queued_charge.try_resize(size <= uncharged_queue_bytes ? 0 : size);
    if (this->is_closed || !has_room) {
        return false;
    }
    this->queued += frame_header(bytes.size());
    this->queued += bytes;
    this->hub.sent_bytes += bytes.size() + frame_header_bytes;
    if (!this->write_active) {
        this->write_active = true;
        // The write is posted, so that messages that the current handler sends leave together.
        asio::post(this->hub.context, [self = this->shared_from_this()] { self->write_more(); });
    }
    return true;
}

void link_connection::write_more() {
    {
        std::lock_guard const guard(this->mutex);
        this->write_buffer.clear();
        this->write_buffer.swap(this->queued);
        this->queued_charge.release();
        this->write_active = !this->write_buffer.empty() && !this->is_closed;
        if (!this->write_active) {
            return;
        }
    }
    asio::async_write(this->socket, asio::buffer(this->write_buffer),
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
