#include "platform/platform_client.hpp"

#include "http/idle_socket.hpp"
#include "http/response_reader.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <QMetaObject>
#include <QUrl>

#include <algorithm>
#include <chrono>
#include <utility>

namespace caraway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t max_header_bytes = 16'384;
/// Most bytes that are held unparsed; the parser limits neither the line before a chunk nor the trailer.
constexpr std::size_t max_unparsed_bytes = 65'536;
/// A platform may close a connection, or cut a watch that waits on it, before it has begun to answer.
constexpr int max_resends = 1;
constexpr std::size_t max_idle_connections = 4;
constexpr int http_version = 11;

bool is_closed_by_peer(boost::system::error_code error) {
    return error == http::error::end_of_stream || error == asio::error::connection_reset ||
           error == asio::error::broken_pipe;
}

} // namespace

std::string platform_reply::header(std::string_view name) const {
    header_field const* found = nullptr;
    for (auto const& field : this->headers) {
        if (!boost::beast::iequals(field.name, boost::beast::string_view(name.data(), name.size()))) {
            continue;
        }
        if (found != nullptr && found->value != field.value) {
            return {};
        }
        found = &field;
    }
    return found == nullptr ? std::string{} : found->value;
}

class platform_connection {
public:
    explicit platform_connection(asio::io_context& context) : stream(context), buffer(max_unparsed_bytes) {}

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
};

/// One request, from its start until its reply is delivered.
class platform_call : public std::enable_shared_from_this<platform_call> {
public:
    platform_call(platform_client& owner, std::string const& path, duration limit,
                  platform_client::reply_handler result_handler)
        : client(owner), resolver(owner.loop.context()), timeout(limit), handler(std::move(result_handler)),
          reader({.header = max_header_bytes, .body = owner.limits.max_body}) {
        this->request.version(http_version);
        this->request.method(http::verb::get);
        this->request.target(owner.path_prefix + path);
        this->request.set(http::field::host, owner.host + ":" + owner.port);
    }

    void start() {
        this->ends_at = monotonic_clock::now() + this->timeout + this->client.limits.max_transfer_time;
        this->connection = this->client.acquire_idle();
        if (this->connection != nullptr) {
            return this->write();
        }
        this->connect();
    }

private:
    void connect() {
        this->connection = std::make_unique<platform_connection>(this->client.loop.context());
        this->limit_time();
        boost::system::error_code error;
        auto const address = asio::ip::make_address(this->client.host, error);
        if (!error) {
            auto const number = static_cast<std::uint16_t>(std::stoi(this->client.port));
            return this->connection->stream.async_connect(
                asio::ip::tcp::endpoint(address, number),
                [self = this->shared_from_this()](boost::system::error_code failed) {
                    self->on_connected(failed);
                });
        }
        this->resolver.async_resolve(
            this->client.host, this->client.port,
            [self = this->shared_from_this()](boost::system::error_code failed, auto const& endpoints) {
                if (failed) {
                    return self->fail(failed);
                }
                self->connection->stream.async_connect(
                    endpoints, [self](boost::system::error_code refused, asio::ip::tcp::endpoint const&) {
                        self->on_connected(refused);
                    });
            });
    }

    void on_connected(boost::system::error_code error) {
        if (error) {
            return this->fail(error);
        }
        boost::system::error_code ignored;
        this->connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        this->write();
    }

    void write() {
        this->limit_time();
        this->reader.start();
        http::async_write(this->connection->stream, this->request,
                          [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                              if (error) {
                                  return self->resend_or_fail(error);
                              }
                              self->read_more();
                          });
    }

    void read_more() {
        this->limit_time();
        http::async_read_some(
            this->connection->stream, this->connection->buffer, this->reader.parser(),
            [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                if (error) {
                    return self->resend_or_fail(error);
                }
                if (!self->reader.finish_read()) {
                    return self->read_more();
                }
                self->finish();
            });
    }

    void limit_time() {
        auto const left = std::clamp(this->ends_at - monotonic_clock::now(), duration{0}, this->timeout);
        this->connection->stream.expires_after(
            std::chrono::microseconds(static_cast<std::int64_t>(left.milliseconds * 1000)));
    }

    void resend_or_fail(boost::system::error_code error) {
        if (!is_closed_by_peer(error) || this->reader.got_some() || this->resends == max_resends) {
            return this->fail(error);
        }
        ++this->resends;
        this->connect();
    }

    void fail(boost::system::error_code error) {
        this->deliver({.error = error.message(),
                       .is_overdue = error == boost::beast::error::timeout,
                       .is_too_large = error == http::error::body_limit});
    }

    void finish() {
        auto response = this->reader.release();
        platform_reply reply{.status = response.result_int(), .body = response.body().to_string()};
        for (auto const& field : response) {
            reply.headers.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        auto& idle = this->client.idle_connections;
        if (response.keep_alive() && this->connection->buffer.size() == 0 &&
            idle.size() < max_idle_connections) {
            this->connection->stream.expires_never();
            idle.push_back(std::move(this->connection));
        }
        this->deliver(std::move(reply));
    }

    void deliver(platform_reply&& reply) {
        QMetaObject::invokeMethod(
            &this->client.receiver,
            [answered = std::move(this->handler),
             shared = std::make_shared<platform_reply const>(std::move(reply))] { answered(*shared); },
            Qt::QueuedConnection);
    }

    platform_client& client;
    asio::ip::tcp::resolver resolver;
    duration timeout;
    time_point ends_at;
    platform_client::reply_handler handler;
    std::unique_ptr<platform_connection> connection;
    http::request<http::empty_body> request;
    response_reader reader;
    int resends{0};
};

platform_client::platform_client(std::string const& base_url, platform_client_limits initial_limits)
    : limits(initial_limits) {
    constexpr int default_port = 80;
    QUrl const url(QString::fromStdString(base_url));
    this->host = url.host().toStdString();
    this->port = std::to_string(url.port(default_port));
    this->path_prefix = url.path().toStdString();
}

platform_client::~platform_client() {
    this->loop.stop();
}

void platform_client::get(std::string const& path, duration timeout, reply_handler handler) {
    ++this->calls;
    if (!std::exchange(this->is_running, true)) {
        this->loop.start();
    }
    asio::post(this->loop.context(), [call = std::make_shared<platform_call>(
                                          *this, path, timeout, std::move(handler))] { call->start(); });
}

std::unique_ptr<platform_connection> platform_client::acquire_idle() {
    while (!this->idle_connections.empty()) {
        auto connection = std::move(this->idle_connections.back());
        this->idle_connections.pop_back();
        if (is_idle_socket(connection->stream.socket())) {
            return connection;
        }
    }
    return nullptr;
}

} // namespace caraway
