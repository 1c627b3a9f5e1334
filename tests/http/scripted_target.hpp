/// A target that answers with given bytes, and a client of the dialect in which answers carry an integrity
/// field and some statuses guarantee that a request has not run.
#pragma once

#include "http/sequential_client.hpp"
#include "http/sequential_target.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <cstdint>
#include <poll.h>
#include <string>
#include <utility>
#include <vector>

namespace caraway::tests {

inline http_dialect strict_dialect() {
    return {.request_id = "Id",
            .timeout = "Time",
            .key = "Pass",
            .key_prefix = "",
            .deadline = "Time",
            .organisation = "Owner",
            .calling_service = "From",
            .instance = "Wanted",
            .not_run = "Untouched",
            .integrity = "Mark",
            .answering_instance = "Answering",
            .checks_request_id = true,
            .has_extension_headers = false,
            .forwards_authority = true,
            .retry_after_has_fractions = true,
            .statuses_mean_not_run = true};
}

inline std::string answer_text(std::string const& status, std::string const& headers,
                               std::string const& body) {
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// A target that answers the successive requests of each connection with the given bytes, and closes the
/// connection after the last of them.
class scripted_target {
public:
    /// `later_answers`: of all connections after the first; the same if empty.
    scripted_target(std::uint16_t port, std::vector<std::string> answers,
                    std::vector<std::string> later_answers = {})
        : script(std::move(answers)), later_script(std::move(later_answers)),
          target(port, [this](boost::asio::ip::tcp::socket& socket) { this->serve(socket); }) {}

    std::atomic<int> arrivals{0};
    std::atomic<int> connections{0};
    std::string last_head; ///< To be read only after the answer has arrived.

private:
    void serve(boost::asio::ip::tcp::socket& socket) {
        bool const is_later = this->connections++ > 0 && !this->later_script.empty();
        boost::system::error_code error;
        for (auto const& answer : is_later ? this->later_script : this->script) {
            pollfd readable{.fd = socket.native_handle(), .events = POLLIN, .revents = 0};
            if (!this->later_script.empty() && ::poll(&readable, 1, idle_limit_ms) == 0) {
                break; // The next connection is served.
            }
            std::string text;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", error);
            if (error) {
                break;
            }
            ++this->arrivals;
            this->last_head = text;
            boost::asio::write(socket, boost::asio::buffer(answer), error);
        }
    }

    static constexpr int idle_limit_ms = 500;
    std::vector<std::string> script;
    std::vector<std::string> later_script;
    sequential_target target; ///< Declared last, since its thread uses the members above.
};

class strict_client : public sequential_client {
public:
    explicit strict_client(std::uint16_t port) : sequential_client(port, strict_dialect()) {}
    target_answer ask(std::string request_id, std::string method = "GET") {
        bool const idempotent = method == "GET";
        return this->send({.method = std::move(method),
                           .authority = "shop.example",
                           .path = "/a",
                           .headers = {{"Extra", "kept"}},
                           .deadline = monotonic_clock::now() + duration{1234.7},
                           .answer_grace = duration{2000},
                           .request_id = std::move(request_id),
                           .context_token = "token",
                           .organisation = "org",
                           .calling_service = "front",
                           .instance = "i-1",
                           .idempotent = idempotent});
    }
    /// Asks the instance "i-1" for its health.
    target_answer check_health() {
        return this->send({.method = "GET",
                           .path = "/health",
                           .deadline = monotonic_clock::now() + duration{3000},
                           .instance = "i-1",
                           .is_health_check = true});
    }
};

} // namespace caraway::tests
