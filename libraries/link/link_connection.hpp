/// One connection of the hub: framing, handshake and bounded outgoing bytes over an nng stream.
#pragma once

#include "base/clock.hpp"
#include "link/link_hub.hpp"

#include <nng/nng.h>

#include <array>
#include <mutex>

namespace caraway {

class link_connection {
public:
    link_connection(link_hub& owner, connection_id number, handshake::role role);
    ~link_connection();
    link_connection(link_connection const&) = delete;
    link_connection& operator=(link_connection const&) = delete;

    void start_dialling(std::string const& address);
    void start_accepted(nng_stream* accepted);

    bool send(message const& content);
    void close();
    /// Whether it was opened long ago and has not yet proved who it is.
    bool is_overdue(time_point now) const { return !this->open && now - this->born >= handshake_limit; }

private:
    static void on_dialled(void* self);
    static void on_read(void* self);
    static void on_written(void* self);

    void begin(nng_stream* opened);
    void read_more();
    void write_more();
    bool enqueue(message const& content);
    /// Takes every whole frame out of `incoming`; false when the connection must end.
    bool take_frames();
    bool take_message(std::string_view frame);
    bool take_handshake(message const& content);
    bool refuse(result_code code);
    void end();

    static constexpr duration handshake_limit{3000};

    link_hub& hub;
    connection_id id;
    time_point born{monotonic_clock::now()};
    handshake greeting;
    bool dialled;
    nng_stream_dialer* dialer{nullptr};
    nng_stream* stream{nullptr};
    nng_aio* dial_aio{nullptr};
    nng_aio* read_aio{nullptr};
    nng_aio* write_aio{nullptr};

    /// Touched by the reading callback only.
    std::array<char, 16'384> chunk{};
    std::string incoming;
    std::atomic<bool> open{false};
    std::atomic<bool> ended{false};

    std::mutex mutex; ///< Guards the outgoing side and the stream's life.
    std::string queued;
    std::string writing;
    std::size_t written{0};
    bool write_active{false};
};

} // namespace caraway
