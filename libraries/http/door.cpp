#include "http/door.hpp"

#include "http/door_session.hpp"

#include <boost/asio/post.hpp>

namespace caraway {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Room for answers whose callers have gone, beside one for each open connection.
constexpr std::size_t least_answers = 64;

} // namespace

door::door(door_settings wanted, door_events handlers)
    : options(std::move(wanted)), events(std::move(handlers)), context(1), acceptor(context),
      answers(2 * options.max_connections + least_answers) {
    this->answers.set_wake([this] { asio::post(this->context, [this] { this->deliver_answers(); }); });
}

door::~door() {
    this->context.stop();
    if (this->worker.joinable()) {
        this->worker.join();
    }
}

result<void> door::open() {
    boost::system::error_code error;
    tcp::endpoint const place(asio::ip::make_address(this->options.address), this->options.port);
    this->acceptor.open(place.protocol(), error);
    if (!error) {
        this->acceptor.set_option(tcp::acceptor::reuse_address(true));
        this->acceptor.bind(place, error);
    }
    if (!error) {
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return fail({result_code::io_failed, "The address " + this->options.address + ":" +
                                                 std::to_string(this->options.port) +
                                                 " can't be opened: " + error.message() + "."});
    }
    this->accept();
    this->worker = std::thread([this] { this->context.run(); });
    return {};
}

void door::accept() {
    this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !this->acceptor.is_open()) {
            return;
        }
        if (!error && this->open_connections < this->options.max_connections) {
            auto const session = std::make_shared<door_session>(*this, std::move(socket));
            this->sessions.push_back(session);
            session->read();
        }
        this->forget_ended_sessions();
        this->accept();
    });
}

void door::forget_ended_sessions() {
    if (this->sessions.size() < 2 * this->open_connections + 64) {
        return;
    }
    std::erase_if(this->sessions, [](auto const& session) { return session.expired(); });
}

void door::answer(door_answer&& value) {
    // The ring holds two answers for each connection, and a connection waits for one at a time.
    [[maybe_unused]] bool const taken = this->answers.try_push(std::move(value));
}

void door::deliver_answers() {
    this->answers.drain([this](door_answer&& value) {
        auto const found = this->waiting.find(value.id);
        if (found == this->waiting.end()) {
            return;
        }
        auto const session = std::move(found->second);
        this->waiting.erase(found);
        session->write(std::move(value));
    });
}

void door::drain() {
    asio::post(this->context, [this] {
        this->draining = true;
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
    });
}

void door::close_idle() {
    asio::post(this->context, [this] {
        for (auto const& entry : this->sessions) {
            if (auto const session = entry.lock()) {
                session->close_if_idle();
            }
        }
    });
}

} // namespace caraway
