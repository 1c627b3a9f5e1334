#include "link/link_connection.hpp"

#include "link/codec.hpp"

#include <arpa/inet.h>

namespace caraway {

namespace {

constexpr std::size_t frame_header_bytes = 4;
constexpr std::size_t max_handshake_bytes = 1024;
constexpr std::size_t max_queued_bytes = 16'777'216;

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

link_connection::link_connection(link_hub& owner, connection_id number, handshake::role role)
    : hub(owner), id(number), greeting(role, owner.identity, owner.secret),
      dialled(role == handshake::role::dialling) {
    nng_aio_alloc(&this->dial_aio, on_dialled, this);
    nng_aio_alloc(&this->read_aio, on_read, this);
    nng_aio_alloc(&this->write_aio, on_written, this);
}

link_connection::~link_connection() {
    this->close();
    for (auto* aio : {this->dial_aio, this->read_aio, this->write_aio}) {
        nng_aio_stop(aio);
        nng_aio_free(aio);
    }
    if (this->stream != nullptr) {
        nng_stream_free(this->stream);
    }
    if (this->dialer != nullptr) {
        nng_stream_dialer_free(this->dialer);
    }
}

void link_connection::start_dialling(std::string const& address) {
    if (nng_stream_dialer_alloc(&this->dialer, ("tcp://" + address).c_str()) != 0) {
        return this->end();
    }
    nng_sockaddr local{};
    local.s_in.sa_family = NNG_AF_INET;
    bool const is_ipv4 = ::inet_pton(AF_INET, this->hub.own_ip.c_str(), &local.s_in.sa_addr) == 1;
    if (is_ipv4 && local.s_in.sa_addr != 0) {
        nng_stream_dialer_set_addr(this->dialer, NNG_OPT_LOCADDR, &local);
    }
    nng_stream_dialer_dial(this->dialer, this->dial_aio);
}

void link_connection::start_accepted(nng_stream* accepted) {
    this->begin(accepted);
}

void link_connection::on_dialled(void* self) {
    auto* connection = static_cast<link_connection*>(self);
    if (nng_aio_result(connection->dial_aio) != 0) {
        return connection->end();
    }
    connection->begin(static_cast<nng_stream*>(nng_aio_get_output(connection->dial_aio, 0)));
    connection->enqueue(connection->greeting.hello());
}

void link_connection::begin(nng_stream* opened) {
    {
        std::lock_guard const guard(this->mutex);
        this->stream = opened;
        nng_stream_set_bool(opened, NNG_OPT_TCP_NODELAY, true);
        if (this->ended) {
            nng_stream_close(opened);
        }
    }
    this->read_more();
}

void link_connection::read_more() {
    nng_iov vector{this->chunk.data(), this->chunk.size()};
    nng_aio_set_iov(this->read_aio, 1, &vector);
    nng_stream_recv(this->stream, this->read_aio);
}

void link_connection::on_read(void* self) {
    auto* connection = static_cast<link_connection*>(self);
    if (nng_aio_result(connection->read_aio) != 0) {
        return connection->end();
    }
    connection->incoming.append(connection->chunk.data(), nng_aio_count(connection->read_aio));
    if (!connection->take_frames()) {
        return connection->end();
    }
    connection->read_more();
}

bool link_connection::take_frames() {
    std::string_view rest(this->incoming);
    while (rest.size() >= frame_header_bytes) {
        auto const size = frame_size(rest);
        // A stranger gets no memory: before the handshake is done a frame is small.
        if (size > (this->open ? this->hub.max_frame : max_handshake_bytes)) {
            return this->refuse(result_code::link_too_large);
        }
        if (rest.size() < frame_header_bytes + size) {
            break;
        }
        if (!this->take_message(rest.substr(frame_header_bytes, size))) {
            return false;
        }
        rest.remove_prefix(frame_header_bytes + size);
    }
    this->incoming.erase(0, this->incoming.size() - rest.size());
    if (this->incoming.empty() && this->incoming.capacity() > this->chunk.size()) {
        this->incoming.shrink_to_fit();
    }
    return true;
}

bool link_connection::take_message(std::string_view frame) {
    return attempt_or(
        [&]() -> result<bool> {
            BOOST_LEAF_AUTO(content, decode(frame));
            if (!this->open) {
                return this->take_handshake(content);
            }
            return this->hub.report({.kind = link_event_kind::received,
                                     .connection = this->id,
                                     .dialled = this->dialled,
                                     .peer = this->greeting.peer(),
                                     .content = std::move(content)});
        },
        [&](problem const& cause) { return this->refuse(cause.code); });
}

bool link_connection::take_handshake(message const& content) {
    return attempt_or(
        [&]() -> result<bool> {
            BOOST_LEAF_AUTO(reply, this->greeting.receive(content));
            if (reply) {
                this->enqueue(*reply);
            }
            if (!this->greeting.is_done()) {
                return true;
            }
            this->open = true;
            return this->hub.report({.kind = link_event_kind::opened,
                                     .connection = this->id,
                                     .dialled = this->dialled,
                                     .peer = this->greeting.peer()});
        },
        [&](problem const& cause) { return this->refuse(cause.code); });
}

bool link_connection::refuse(result_code code) {
    this->hub.report({.kind = link_event_kind::refused,
                      .connection = this->id,
                      .dialled = this->dialled,
                      .peer = this->greeting.peer(),
                      .code = code});
    return false;
}

bool link_connection::send(message const& content) {
    return this->open && this->enqueue(content);
}

bool link_connection::enqueue(message const& content) {
    auto const bytes = encode(content);
    if (bytes.size() > this->hub.max_frame) {
        return false;
    }
    std::lock_guard const guard(this->mutex);
    if (this->ended || this->stream == nullptr || this->queued.size() + bytes.size() > max_queued_bytes) {
        return false;
    }
    this->queued += frame_header(bytes.size());
    this->queued += bytes;
    this->hub.sent_bytes += bytes.size() + frame_header_bytes;
    this->write_more();
    return true;
}

void link_connection::write_more() {
    if (this->write_active) {
        return;
    }
    if (this->written == this->writing.size()) {
        this->writing.clear();
        this->written = 0;
        this->writing.swap(this->queued);
    }
    if (this->writing.empty()) {
        return;
    }
    nng_iov vector{this->writing.data() + this->written, this->writing.size() - this->written};
    nng_aio_set_iov(this->write_aio, 1, &vector);
    this->write_active = true;
    nng_stream_send(this->stream, this->write_aio);
}

void link_connection::on_written(void* self) {
    auto* connection = static_cast<link_connection*>(self);
    if (nng_aio_result(connection->write_aio) != 0) {
        return connection->end();
    }
    std::lock_guard const guard(connection->mutex);
    connection->write_active = false;
    connection->written += nng_aio_count(connection->write_aio);
    connection->write_more();
}

void link_connection::close() {
    std::lock_guard const guard(this->mutex);
    if (this->stream != nullptr) {
        nng_stream_close(this->stream);
    }
    if (this->dialer != nullptr) {
        nng_stream_dialer_close(this->dialer);
    }
}

void link_connection::end() {
    if (this->ended.exchange(true)) {
        return;
    }
    this->close();
    this->hub.report({.kind = link_event_kind::closed,
                      .connection = this->id,
                      .dialled = this->dialled,
                      .peer = this->greeting.peer()});
    this->hub.forget(this->id);
}

} // namespace caraway
