/// One connection of the door.
#pragma once

#include "http/http_listener.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <optional>

namespace caraway {

class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(http_listener& owner, boost::asio::ip::tcp::socket socket);
    ~http_session();
    http_session(http_session const&) = delete;
    http_session& operator=(http_session const&) = delete;

    void read();
    void accept_answer(listener_answer&& answer);
    /// Closes the connection unless a request is being worked on.
    void close_if_idle();
    /// Closes the connection when its other end has neither sent nor taken anything for the allowed time.
    void close_if_timed_out(time_point now);

private:
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using response_type = boost::beast::http::response<boost::beast::http::string_body>;

    /// A request that was read, in the order of the connection, until its answer is written.
    struct pending_request {
        std::uint64_t id{0}; ///< 0 when the door itself answers.
        bool keep_alive{true};
        bool is_head{false};
        std::optional<listener_answer> answer;
    };

    void on_read(boost::system::error_code error);
    /// Answers what could not be read as a request; the connection ends with it.
    void on_read_error(boost::system::error_code error);
    void answer_error(result_code code, bool keep_alive, bool is_head);
    void write_next();
    void on_written(boost::system::error_code error, bool keep_alive);
    response_type make_response(pending_request&& request, bool keep_alive) const;
    void watch_for_disconnect();
    void on_readable(boost::system::error_code error);
    /// The caller has gone: tells the node of every request that is not answered, and closes.
    void disconnect();
    /// Ends the sending half and reads away what still comes, so that the last answer is not lost to a reset.
    void linger();

    http_listener& listener; ///< Not touched once the loop has stopped.
    std::shared_ptr<std::atomic<std::size_t>> open_connections;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::optional<parser_type> parser;
    std::optional<response_type> response;
    std::deque<pending_request> pending;
    time_point last_activity; ///< When the other end last sent a whole request, or took a whole answer.
    bool reading{false};
    bool writing{false};
    bool watching{false};
    bool closing{false}; ///< Nothing more is read as a request.
    bool lingering{false};
    std::size_t lingered_bytes{0}; ///< Bytes read away.
};

} // namespace caraway
