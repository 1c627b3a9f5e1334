#include "standins/http_service.hpp"

namespace caraway::standins {

using asio::ip::tcp;

namespace {

constexpr std::uint64_t max_body_bytes = 80'000'000;

} // namespace

http_response make_response(unsigned int status, std::string body) {
    http_response response(static_cast<http::status>(status), 11);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

http_service::http_service(std::string listen_address, std::uint16_t listen_port,
                           http_handler request_handler)
    : address(std::move(listen_address)), port(listen_port), handler(std::move(request_handler)) {
    this->open();
    this->worker = std::thread([this] {
        auto const guard = asio::make_work_guard(this->io);
        this->io.run();
    });
}

http_service::~http_service() {
    this->stop();
}

void http_service::stop() {
    this->io.stop();
    if (this->worker.joinable()) {
        this->worker.join();
    }
}

void http_service::open() {
    tcp::endpoint const endpoint(asio::ip::make_address(this->address), this->port);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
    this->accept();
}

void http_service::accept() {
    this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (!this->acceptor.is_open()) {
            return;
        }
        if (!error) {
            auto const shared = std::make_shared<tcp::socket>(std::move(socket));
            this->sockets.insert(shared);
            ++this->connections;
            asio::co_spawn(this->io, this->serve(shared), asio::detached);
        }
        this->accept();
    });
}

void http_service::reset_all_connections() {
    for (auto const& socket : this->sockets) {
        boost::system::error_code ignored;
        // A linger time of zero makes the peer see a reset, as after a crash.
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

void http_service::crash() {
    asio::post(this->io, [this] {
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
        this->reset_all_connections();
    });
}

void http_service::resume() {
    asio::post(this->io, [this] {
        if (!this->acceptor.is_open()) {
            this->open();
        }
    });
}

asio::awaitable<void> http_service::serve(std::shared_ptr<tcp::socket> socket) {
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    socket->set_option(tcp::no_delay(true), error);
    while (!error) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        co_await http::async_read(*socket, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        bool const keep_alive = parser.get().keep_alive();
        auto response = co_await this->handler(parser.release());
        response.keep_alive(keep_alive);
        response.prepare_payload();
        co_await http::async_write(*socket, response, asio::redirect_error(asio::use_awaitable, error));
        if (!keep_alive) {
            break;
        }
    }
    boost::system::error_code ignored;
    socket->close(ignored);
    this->sockets.erase(socket);
    --this->connections;
}

} // namespace caraway::standins
