#include "link/link_hub.hpp"

#include "link/link_connection.hpp"

#include <nng/nng.h>

namespace caraway {

namespace {

constexpr duration overdue_check_interval{500};

} // namespace

/// Accepts one connection after another.
struct link_listener {
    explicit link_listener(link_hub& owner) : hub(owner) { nng_aio_alloc(&this->aio, on_accepted, this); }
    ~link_listener() {
        if (this->listener != nullptr) {
            nng_stream_listener_close(this->listener);
        }
        nng_aio_stop(this->aio);
        nng_aio_free(this->aio);
        if (this->listener != nullptr) {
            nng_stream_listener_free(this->listener);
        }
    }
    link_listener(link_listener const&) = delete;
    link_listener& operator=(link_listener const&) = delete;

    static void on_accepted(void* self) {
        auto* acceptor = static_cast<link_listener*>(self);
        int const error = nng_aio_result(acceptor->aio);
        if (error == NNG_ECLOSED || error == NNG_ECANCELED) {
            return;
        }
        if (error == 0) {
            acceptor->hub.adopt(nng_aio_get_output(acceptor->aio, 0));
        }
        nng_stream_listener_accept(acceptor->listener, acceptor->aio);
    }

    link_hub& hub;
    nng_stream_listener* listener{nullptr};
    nng_aio* aio{nullptr};
};

link_hub::link_hub(link_identity own_identity, std::string fleet_secret, std::size_t max_message,
                   event_sink sink_function)
    : identity(std::move(own_identity)), secret(std::move(fleet_secret)), max_frame(max_message),
      sink(std::move(sink_function)) {}

link_hub::~link_hub() {
    this->listener.reset();
    std::unordered_map<connection_id, std::shared_ptr<link_connection>> open;
    {
        std::lock_guard const guard(this->mutex);
        this->closing = true;
        open = this->connections;
    }
    for (auto const& [id, connection] : open) {
        connection->close();
    }
    open.clear();
    // Destroyed outside the lock: a connection's last callback still asks the hub to forget it.
    while (this->connection_count() > 0) {
        std::vector<std::shared_ptr<link_connection>> all;
        {
            std::lock_guard const guard(this->mutex);
            for (auto& [id, connection] : this->connections) {
                all.push_back(connection);
            }
            this->connections.clear();
        }
    }
    this->reap();
}

result<void> link_hub::listen(std::string const& address) {
    this->own_ip = address.substr(0, address.rfind(':'));
    auto started = std::make_unique<link_listener>(*this);
    int error = nng_stream_listener_alloc(&started->listener, ("tcp://" + address).c_str());
    if (error == 0) {
        error = nng_stream_listener_listen(started->listener);
    }
    if (error != 0) {
        return fail({result_code::io_failed,
                     "The link address " + address + " can't be opened: " + nng_strerror(error) + "."});
    }
    nng_stream_listener_accept(started->listener, started->aio);
    this->listener = std::move(started);
    return {};
}

void link_hub::dial(connection_id id, std::string const& address) {
    auto const connection = std::make_shared<link_connection>(*this, id, handshake::role::dialling);
    {
        std::lock_guard const guard(this->mutex);
        this->connections[id] = connection;
    }
    connection->start_dialling(address);
}

void link_hub::adopt(void* stream) {
    std::shared_ptr<link_connection> connection;
    {
        std::lock_guard const guard(this->mutex);
        if (this->closing) {
            nng_stream_free(static_cast<nng_stream*>(stream));
            return;
        }
        auto const id = this->next_accepted++;
        connection = std::make_shared<link_connection>(*this, id, handshake::role::accepting);
        this->connections[id] = connection;
    }
    connection->start_accepted(static_cast<nng_stream*>(stream));
}

std::shared_ptr<link_connection> link_hub::find(connection_id id) const {
    std::lock_guard const guard(this->mutex);
    auto const found = this->connections.find(id);
    return found == this->connections.end() ? nullptr : found->second;
}

bool link_hub::send(connection_id id, message const& content) {
    auto const connection = this->find(id);
    return connection != nullptr && connection->send(content);
}

void link_hub::close(connection_id id) {
    if (auto const connection = this->find(id)) {
        connection->close();
    }
}

void link_hub::forget(connection_id id) {
    std::lock_guard const guard(this->mutex);
    auto const found = this->connections.find(id);
    if (found != this->connections.end()) {
        this->ended.push_back(std::move(found->second));
        this->connections.erase(found);
    }
}

void link_hub::reap() {
    std::vector<std::shared_ptr<link_connection>> freed;
    {
        std::lock_guard const guard(this->mutex);
        freed.swap(this->ended);
    }
    // The connections go outside the lock: their last callbacks may need it to finish.
    freed.clear();
    this->close_overdue();
}

void link_hub::close_overdue() {
    auto const now = monotonic_clock::now();
    if (now < this->next_overdue_check) {
        return;
    }
    this->next_overdue_check = now + overdue_check_interval;
    std::vector<std::shared_ptr<link_connection>> overdue;
    {
        std::lock_guard const guard(this->mutex);
        for (auto const& [id, connection] : this->connections) {
            if (connection->is_overdue(now)) {
                overdue.push_back(connection);
            }
        }
    }
    for (auto const& connection : overdue) {
        connection->close();
    }
}

std::size_t link_hub::connection_count() const {
    std::lock_guard const guard(this->mutex);
    return this->connections.size();
}

} // namespace caraway
