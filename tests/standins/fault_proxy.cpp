#include "standins/fault_proxy.hpp"

#include <array>
#include <chrono>

namespace caraway::standins {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto stall_poll = std::chrono::milliseconds(5);
constexpr std::size_t chunk_bytes = 16'384;

void reset(tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct fault_proxy::proxied_connection {
    explicit proxied_connection(asio::io_context& io, tcp::socket accepted)
        : client_side(std::move(accepted)), server_side(io) {}

    tcp::socket client_side;
    tcp::socket server_side;
    std::string source;
    std::uint64_t opened_after_fault{0}; ///< The number of the latest fault when the connection was accepted.
};

fault_proxy::fault_proxy(std::string listen_address, std::uint16_t listen_port, std::string target_address,
                         std::uint16_t port)
    : target_ip(std::move(target_address)), target_port(port) {
    tcp::endpoint const endpoint(asio::ip::make_address(listen_address), listen_port);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
    this->accept();
    this->worker = std::thread([this] {
        auto const guard = asio::make_work_guard(this->io);
        this->io.run();
    });
}

fault_proxy::~fault_proxy() {
    this->io.stop();
    this->worker.join();
}

void fault_proxy::set_fault(link_fault wanted, std::function<bool(std::string const&)> sources) {
    {
        std::lock_guard const guard(this->mutex);
        this->fault = wanted;
        this->applies_to = std::move(sources);
        ++this->faults_set;
    }
    asio::post(this->io, [this] {
        for (auto const& connection : this->connections) {
            if (this->fault_for(*connection) == link_fault::cut) {
                reset(connection->client_side);
                reset(connection->server_side);
            }
        }
    });
}

void fault_proxy::clear() {
    std::lock_guard const guard(this->mutex);
    // A connection that became silent stays silent; only new connections work.
    if (this->fault != link_fault::silent) {
        this->fault = link_fault::none;
    }
}

link_fault fault_proxy::fault_for(proxied_connection const& connection) {
    std::lock_guard const guard(this->mutex);
    bool const hit =
        this->fault != link_fault::none && this->applies_to && this->applies_to(connection.source);
    if (!hit || (this->fault == link_fault::silent && connection.opened_after_fault >= this->faults_set)) {
        return link_fault::none;
    }
    return this->fault;
}

void fault_proxy::accept() {
    this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (!error) {
            auto const connection = std::make_shared<proxied_connection>(this->io, std::move(socket));
            connection->source = connection->client_side.remote_endpoint(error).address().to_string();
            {
                std::lock_guard const guard(this->mutex);
                connection->opened_after_fault = this->faults_set;
            }
            this->connections.insert(connection);
            asio::co_spawn(this->io, this->connect(connection), asio::detached);
        }
        this->accept();
    });
}

asio::awaitable<void> fault_proxy::connect(std::shared_ptr<proxied_connection> connection) {
    boost::system::error_code error;
    if (this->fault_for(*connection) == link_fault::cut) {
        reset(connection->client_side);
        this->connections.erase(connection);
        co_return;
    }
    tcp::endpoint const endpoint(asio::ip::make_address(this->target_ip), this->target_port);
    co_await connection->server_side.async_connect(endpoint,
                                                   asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        reset(connection->client_side);
        this->connections.erase(connection);
        co_return;
    }
    connection->client_side.set_option(tcp::no_delay(true), error);
    connection->server_side.set_option(tcp::no_delay(true), error);
    asio::co_spawn(this->io, this->pump(connection, true), asio::detached);
    asio::co_spawn(this->io, this->pump(connection, false), asio::detached);
}

asio::awaitable<void> fault_proxy::pump(std::shared_ptr<proxied_connection> connection, bool forward) {
    auto& from = forward ? connection->client_side : connection->server_side;
    auto& to = forward ? connection->server_side : connection->client_side;
    std::array<char, chunk_bytes> chunk{};
    asio::steady_timer timer(this->io);
    boost::system::error_code error;
    while (!error) {
        auto const count = co_await from.async_read_some(asio::buffer(chunk),
                                                         asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        if (this->delay_ms > 0) {
            timer.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(this->delay_ms * 1000)));
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
        auto fault_now = this->fault_for(*connection);
        while (fault_now == link_fault::stall) {
            timer.expires_after(stall_poll);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            fault_now = this->fault_for(*connection);
        }
        bool const discarded = fault_now == link_fault::silent || (!forward && this->drop_responses);
        if (fault_now == link_fault::cut) {
            break;
        }
        if (!discarded) {
            co_await asio::async_write(to, asio::buffer(chunk.data(), count),
                                       asio::redirect_error(asio::use_awaitable, error));
        }
    }
    boost::system::error_code ignored;
    bool const silent = this->fault_for(*connection) == link_fault::silent;
    from.close(ignored);
    // The peer of a silent connection must not see it close.
    if (!silent) {
        to.close(ignored);
        this->connections.erase(connection);
    }
}

} // namespace caraway::standins
