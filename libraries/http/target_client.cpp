#include "http/target_client.hpp"

#include "base/clock.hpp"
#include "http/header_rules.hpp"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <optional>

namespace caraway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Shorter than what targets commonly allow, so that the target seldom closes a connection just being reused.
constexpr duration max_idle{2000};
constexpr std::size_t max_idle_connections = 4096;

} // namespace

class target_connection {
public:
    explicit target_connection(asio::io_context& context) : stream(context) {}

    /// Whether the target has neither closed it nor sent anything unasked.
    bool is_usable() {
        char byte = 0;
        auto const got = ::recv(this->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    time_point idle_since;
};

/// One request on its way to the target and back.
class target_call : public std::enable_shared_from_this<target_call> {
public:
    target_call(target_client& owner, target_request&& wanted) : client(owner), request(std::move(wanted)) {}

    void start() {
        this->connection = this->client.take_idle();
        if (this->connection != nullptr) {
            this->arm();
            return this->write();
        }
        this->connection = std::make_unique<target_connection>(this->client.context);
        this->arm();
        asio::ip::tcp::endpoint const place(asio::ip::make_address(this->client.options.address),
                                            this->client.options.port);
        this->connection->stream.async_connect(
            place, [self = this->shared_from_this()](boost::system::error_code error) {
                if (error) {
                    auto const code =
                        self->was_cancelled ? result_code::cancelled : result_code::target_unreachable;
                    return self->finish(outcome::not_run, code);
                }
                boost::system::error_code ignored;
                self->connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
                self->write();
            });
    }

    void cancel() {
        this->was_cancelled = true;
        if (this->connection != nullptr) {
            this->connection->stream.cancel();
        }
    }

private:
    void arm() {
        auto const limit =
            std::chrono::microseconds(static_cast<std::int64_t>(this->request.timeout_ms * 1000));
        this->connection->stream.expires_after(limit);
    }

    void write() {
        http::request<http::string_body> message;
        message.version(11);
        message.method_string(this->request.method);
        message.target(this->request.path);
        message.set(http::field::host,
                    this->client.options.address + ":" + std::to_string(this->client.options.port));
        for (auto const& field : this->request.headers) {
            message.insert(field.name, field.value);
        }
        message.body() = std::move(this->request.body);
        message.prepare_payload();
        this->outgoing = std::move(message);
        http::async_write(
            this->connection->stream, this->outgoing,
            [self = this->shared_from_this()](boost::system::error_code error, std::size_t sent) {
                if (error && sent == 0 && !self->was_cancelled) {
                    return self->finish(outcome::not_run, result_code::target_unreachable);
                }
                if (error) {
                    return self->fail_after_send(error);
                }
                self->read();
            });
    }

    void read() {
        this->parser.emplace();
        this->parser->header_limit(static_cast<std::uint32_t>(this->client.options.max_header));
        this->parser->body_limit(this->client.options.max_body);
        if (this->outgoing.method() == http::verb::head) {
            this->parser->skip(true);
        }
        http::async_read(this->connection->stream, this->connection->buffer, *this->parser,
                         [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                             if (error) {
                                 return self->fail_after_send(error);
                             }
                             self->succeed();
                         });
    }

    void fail_after_send(boost::system::error_code error) {
        if (this->was_cancelled) {
            return this->finish(outcome::unknown, result_code::cancelled);
        }
        if (error == boost::beast::error::timeout) {
            return this->finish(outcome::unknown, result_code::deadline_passed);
        }
        if (error == http::error::body_limit) {
            return this->finish(outcome::ran, result_code::answer_dropped);
        }
        bool const cut = error == http::error::end_of_stream || error == http::error::partial_message ||
                         error.category() == boost::system::system_category() || error == asio::error::eof;
        return this->finish(outcome::unknown,
                            cut ? result_code::target_crashed : result_code::target_malformed);
    }

    void succeed() {
        auto response = this->parser->release();
        target_answer answer{.id = this->request.id,
                             .result = outcome::ran,
                             .code = result_code::ok,
                             .status = static_cast<std::uint16_t>(response.result_int())};
        for (auto const& field : response) {
            std::string_view const name(field.name_string().data(), field.name_string().size());
            if (!header::is_private(name)) {
                answer.headers.push_back({std::string(name), std::string(field.value())});
            }
        }
        answer.body = std::move(response.body());
        if (response.keep_alive() && !this->was_cancelled) {
            this->client.give_back(std::move(this->connection));
        }
        this->deliver(std::move(answer));
    }

    void finish(outcome result, result_code code) {
        this->deliver({.id = this->request.id, .result = result, .code = code});
    }

    void deliver(target_answer&& answer) {
        this->client.calls.erase(this->request.id);
        this->client.sink(std::move(answer));
    }

    target_client& client;
    target_request request;
    std::unique_ptr<target_connection> connection;
    http::request<http::string_body> outgoing;
    std::optional<http::response_parser<http::string_body>> parser;
    bool was_cancelled{false};
};

target_client::target_client(target_client_settings wanted, std::function<void(target_answer&&)> answer_sink)
    : options(std::move(wanted)), sink(std::move(answer_sink)), context(1), guard(context.get_executor()),
      commands(options.max_requests) {
    this->commands.set_wake([this] { asio::post(this->context, [this] { this->run_commands(); }); });
}

target_client::~target_client() {
    this->context.stop();
    if (this->worker.joinable()) {
        this->worker.join();
    }
}

void target_client::start() {
    this->worker = std::thread([this] { this->context.run(); });
}

bool target_client::send(target_request&& request) {
    return this->commands.try_push({.cancels = false, .request = std::move(request)});
}

void target_client::cancel(std::uint64_t id) {
    command wanted{.cancels = true};
    wanted.request.id = id;
    // A full ring loses the wish only: the request ends at its own time limit.
    [[maybe_unused]] bool const taken = this->commands.try_push(std::move(wanted));
}

void target_client::run_commands() {
    this->commands.drain([this](command&& wanted) {
        if (!wanted.cancels) {
            auto const id = wanted.request.id;
            auto const call = std::make_shared<target_call>(*this, std::move(wanted.request));
            this->calls[id] = call;
            return call->start();
        }
        auto const found = this->calls.find(wanted.request.id);
        if (found == this->calls.end()) {
            return;
        }
        if (auto const call = found->second.lock()) {
            call->cancel();
        }
    });
}

std::unique_ptr<target_connection> target_client::take_idle() {
    auto const now = monotonic_clock::now();
    while (!this->idle.empty()) {
        auto connection = std::move(this->idle.back());
        this->idle.pop_back();
        if (now - connection->idle_since < max_idle && connection->is_usable()) {
            return connection;
        }
    }
    return nullptr;
}

void target_client::give_back(std::unique_ptr<target_connection> connection) {
    connection->stream.expires_never();
    connection->idle_since = monotonic_clock::now();
    if (this->idle.size() < max_idle_connections) {
        this->idle.push_back(std::move(connection));
    }
}

} // namespace caraway
