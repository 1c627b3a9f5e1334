#include "standins/test_client.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace caraway::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

std::string to_lower(std::string text) {
    std::ranges::transform(text, text.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

} // namespace

std::string client_answer::header(std::string const& name) const {
    auto const found = this->headers.find(to_lower(name));
    return found == this->headers.end() ? "" : found->second;
}

int client_answer::code() const {
    auto const text = this->header("X-Caraway-Code");
    return text.empty() ? -1 : std::atoi(text.c_str());
}

test_client::test_client(std::string server, std::uint16_t server_port)
    : address(std::move(server)), port(server_port) {}

bool test_client::connect() {
    if (this->stream) {
        return true;
    }
    this->stream.emplace(this->io);
    this->buffer.clear();
    boost::system::error_code error;
    this->stream->connect(asio::ip::tcp::endpoint(asio::ip::make_address(this->address), this->port), error);
    if (error) {
        this->stream.reset();
        return false;
    }
    this->stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
    return true;
}

void test_client::close() {
    this->stream.reset();
}

bool test_client::send_raw(std::string const& bytes) {
    if (!this->connect()) {
        return false;
    }
    boost::system::error_code error;
    asio::write(this->stream->socket(), asio::buffer(bytes), error);
    return !error;
}

client_answer test_client::read_answer(std::chrono::milliseconds timeout) {
    client_answer answer;
    if (!this->stream) {
        return answer;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(80'000'000);
    boost::system::error_code failure;
    bool done = false;
    this->stream->expires_after(timeout);
    http::async_read(*this->stream, this->buffer, parser, [&](boost::system::error_code error, std::size_t) {
        failure = error;
        done = true;
    });
    this->io.restart();
    while (!done && this->io.run_one() > 0) {
    }
    if (failure) {
        this->close();
        return answer;
    }
    auto response = parser.release();
    answer.status = response.result_int();
    for (auto const& field : response) {
        answer.headers[to_lower(std::string(field.name_string()))] = std::string(field.value());
    }
    answer.body = response.body();
    if (!response.keep_alive()) {
        this->close();
    }
    return answer;
}

std::string test_client::read_head() {
    std::string text;
    boost::system::error_code error;
    if (this->stream) {
        asio::read_until(this->stream->socket(), asio::dynamic_buffer(text), "\r\n\r\n", error);
    }
    return text;
}

client_answer test_client::request(std::string const& method, std::string const& path,
                                   header_map const& headers, std::string const& body,
                                   std::chrono::milliseconds timeout) {
    std::string text =
        method + " " + path + " HTTP/1.1\r\n" + (headers.contains("Host") ? "" : "Host: test\r\n");
    for (auto const& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + body;
    if (!this->send_raw(text)) {
        this->close();
        return {};
    }
    return this->read_answer(timeout);
}

client_answer fetch(std::string const& address, std::uint16_t port, std::string const& method,
                    std::string const& path, header_map const& headers, std::string const& body,
                    std::chrono::milliseconds timeout) {
    test_client client(address, port);
    return client.request(method, path, headers, body, timeout);
}

} // namespace caraway::standins
