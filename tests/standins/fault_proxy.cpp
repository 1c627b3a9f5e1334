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

struct fault_proxy::pair {
    explicit pair(asio::io_context& io, tcp::socket accepted) : near(std::move(accepted)), far(io) {}

    tcp::socket near;
    tcp::socket far;
    std::string source;
    std::uint64_t born{0}; ///< The number of the newest fault when the connection opened.
};

fault_proxy::fault_proxy(std::string listen_address, std::uint16_t listen_port, std::string target_address,
                         std::uint16_t port)
    : target_ip(std::move(target_address)), target_port(port) {
    tcp::endpoint const place(asio::ip::make_address(listen_address), listen_port);
    this->acceptor.open(place.protocol());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->acceptor.bind(place);
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
        this->concerns = std::move(sources);
        ++this->fault_number;
    }
    asio::post(this->io, [this] {
        for (auto const& connection : this->pairs) {
            if (this->fault_for(*connection) == link_fault::cut) {
                reset(connection->near);
                reset(connection->far);
            }
        }
    });
}

void fault_proxy::clear() {
    std::lock_guard const guard(this->mutex);
    // A connection that fell silent stays silent: only new ones work.
    if (this->fault != link_fault::silent) {
        this->fault = link_fault::none;
    }
}

link_fault fault_proxy::fault_for(pair const& connection) {
    std::lock_guard const guard(this->mutex);
    bool const hit = this->fault != link_fault::none && this->concerns && this->concerns(connection.source);
    if (!hit || (this->fault == link_fault::silent && connection.born >= this->fault_number)) {
        return link_fault::none;
    }
    return this->fault;
}

void fault_proxy::accept() {
    this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (!error) {
            auto const connection = std::make_shared<pair>(this->io, std::move(socket));
            connection->source = connection->near.remote_endpoint(error).address().to_string();
            {
                std::lock_guard const guard(this->mutex);
                connection->born = this->fault_number;
            }
            this->pairs.insert(connection);
            asio::co_spawn(this->io, this->connect(connection), asio::detached);
        }
        this->accept();
    });
}

asio::awaitable<void> fault_proxy::connect(std::shared_ptr<pair> connection) {
    boost::system::error_code error;
    if (this->fault_for(*connection) == link_fault::cut) {
        reset(connection->near);
        this->pairs.erase(connection);
        co_return;
    }
    tcp::endpoint const place(asio::ip::make_address(this->target_ip), this->target_port);
    co_await connection->far.async_connect(place, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        reset(connection->near);
        this->pairs.erase(connection);
        co_return;
    }
    connection->near.set_option(tcp::no_delay(true), error);
    connection->far.set_option(tcp::no_delay(true), error);
    asio::co_spawn(this->io, this->pump(connection, true), asio::detached);
    asio::co_spawn(this->io, this->pump(connection, false), asio::detached);
}

asio::awaitable<void> fault_proxy::pump(std::shared_ptr<pair> connection, bool forward) {
    auto& from = forward ? connection->near : connection->far;
    auto& to = forward ? connection->far : connection->near;
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
        bool const swallowed = fault_now == link_fault::silent || (!forward && this->drop_answers);
        if (fault_now == link_fault::cut) {
            break;
        }
        if (!swallowed) {
            co_await asio::async_write(to, asio::buffer(chunk.data(), count),
                                       asio::redirect_error(asio::use_awaitable, error));
        }
    }
    boost::system::error_code ignored;
    bool const silent = this->fault_for(*connection) == link_fault::silent;
    from.close(ignored);
    // The other end of a silent connection must not learn that it is over.
    if (!silent) {
        to.close(ignored);
        this->pairs.erase(connection);
    }
}

} // namespace caraway::standins
