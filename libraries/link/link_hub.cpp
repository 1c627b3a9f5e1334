#include "link/link_hub.hpp"

#include "link/link_connection.hpp"

#include <boost/asio/post.hpp>

#include <charconv>
#include <vector>

namespace caraway {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr duration overdue_check_interval{500};

/// Parses "IP:PORT"; the port is 0 if the text can't be parsed.
tcp::endpoint endpoint_of(std::string const& address) {
    auto const colon = address.rfind(':');
    std::uint16_t port = 0;
    boost::system::error_code error;
    auto const ip = asio::ip::make_address(address.substr(0, colon), error);
    if (!error && colon != std::string::npos) {
        std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    }
    return {ip, port};
}

} // namespace

link_hub::link_hub(link_identity own_identity, std::string fleet_secret, std::size_t max_message,
                   event_sink sink_function, event_loop_handle used_loop, link_body_limits bodies)
    : loop(std::move(used_loop)), context(this->loop.context()), acceptor(this->context),
      identity(std::move(own_identity)), secret(std::move(fleet_secret)), max_message_bytes(max_message),
      body_limits(bodies), sink(std::move(sink_function)) {
    this->loop.start();
}

link_hub::~link_hub() {
    this->loop.stop();
}

result<void> link_hub::listen(std::string const& address) {
    auto const local_endpoint = endpoint_of(address);
    boost::system::error_code error;
    this->acceptor.open(local_endpoint.protocol(), error);
    if (!error) {
        this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        this->acceptor.bind(local_endpoint, error);
    }
    if (!error) {
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error || local_endpoint.port() == 0) {
        return fail({result_code::io_failed,
                     "The link address " + address + " can't be opened: " + error.message() + "."});
    }
    this->listen_ip = local_endpoint.address();
    asio::post(this->context, [this] { this->accept(); });
    return {};
}

void link_hub::accept() {
    this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket accepted) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            std::shared_ptr<link_connection> connection;
            {
                std::lock_guard const guard(this->mutex);
                auto const id = this->next_accepted_id++;
                connection = std::make_shared<link_connection>(*this, id, handshake::role::accepting,
                                                               std::move(accepted));
                this->connections[id] = connection;
            }
            connection->start_reading();
        }
        this->accept();
    });
}

void link_hub::dial(connection_id id, std::string const& address) {
    tcp::socket socket(this->context);
    boost::system::error_code ignored;
    socket.open(tcp::v4(), ignored);
    if (this->listen_ip.is_v4() && !this->listen_ip.is_unspecified()) {
        // Peers distinguish hosts by IP address; without the bind the system may choose another source
        // address.
        socket.set_option(tcp::socket::reuse_address(true), ignored);
        socket.bind({this->listen_ip, 0}, ignored);
    }
    auto const connection =
        std::make_shared<link_connection>(*this, id, handshake::role::dialling, std::move(socket));
    {
        std::lock_guard const guard(this->mutex);
        this->connections[id] = connection;
    }
    asio::post(this->context,
               [connection, peer_endpoint = endpoint_of(address)] { connection->dial(peer_endpoint); });
}

std::shared_ptr<link_connection> link_hub::find_connection(connection_id id) const {
    std::lock_guard const guard(this->mutex);
    auto const found = this->connections.find(id);
    return found == this->connections.end() ? nullptr : found->second;
}

bool link_hub::send(connection_id id, message const& content) {
    auto const connection = this->find_connection(id);
    return connection != nullptr && connection->send(content);
}

void link_hub::close(connection_id id) {
    if (auto const connection = this->find_connection(id)) {
        connection->close();
    }
}

void link_hub::remove_connection(connection_id id) {
    std::lock_guard const guard(this->mutex);
    this->connections.erase(id);
}

void link_hub::close_overdue_handshakes() {
    auto const now = monotonic_clock::now();
    if (now < this->next_overdue_check) {
        return;
    }
    this->next_overdue_check = now + overdue_check_interval;
    std::vector<std::shared_ptr<link_connection>> overdue;
    {
        std::lock_guard const guard(this->mutex);
        for (auto const& [id, connection] : this->connections) {
            if (connection->is_handshake_overdue(now)) {
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
