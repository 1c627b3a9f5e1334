/// One connection of an HTTP listener.
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
    /// Closes the connection unless a request is pending or an answer is being written.
    void close_if_idle();
    /// Closes the connection if its peer has been inactive for the idle timeout. Waiting for the node's
    /// answer does not count as inactivity.
    void close_if_timed_out(time_point now);

private:
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using response_type = boost::beast::http::response<boost::beast::http::string_body>;

    /// A request that was read and whose answer is not being written yet. Kept in the order of arrival.
    struct pending_request {
        std::uint64_t id{0}; ///< 0 if the listener itself answers.
        bool keep_alive{true};
        bool is_head{false};
        std::optional<listener_answer> answer;
    };

    void on_read(boost::system::error_code error);
    /// Answers a malformed or oversized request and closes the connection after it; only closes the
    /// connection if there is no request to answer.
    void on_read_error(boost::system::error_code error);
    void answer_error(result_code code, bool keep_alive, bool is_head);
    void add_pending(pending_request&& request);
    void write_next();
    void on_written(boost::system::error_code error, bool keep_alive);
    response_type make_response(pending_request&& request, bool keep_alive) const;
    /// Reads the next request, or only watches for a disconnect where none may be read now.
    void continue_reading();
    /// Also receives the bytes of further requests, up to a bound. A disconnect behind more than that is
    /// noticed once they have been read.
    void watch_for_disconnect();
    void check_disconnected(boost::system::error_code error);
    /// Keeps received bytes for further requests, or discards them if none is read any more. False when no
    /// more may be received.
    bool keep_read_ahead(std::size_t size);
    /// Reports every unanswered request as disconnected and closes the connection.
    void disconnect();
    /// Shuts down the sending side and discards what still arrives. Closing with unread bytes would reset the
    /// connection, and the caller could lose the last answer.
    void linger();

    http_listener& listener; ///< Not accessed after the loop has stopped.
    std::shared_ptr<std::atomic<std::size_t>> open_connections;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::optional<parser_type> parser;
    std::optional<response_type> response;
    std::deque<pending_request> pending;
    time_point last_activity; ///< When the peer last sent a complete request or received a complete answer.
    bool reading{false};
    bool writing{false};
    bool watching{false};
    bool closing{false}; ///< No further request is read.
    bool lingering{false};
    std::size_t lingered_bytes{0}; ///< Discarded so far.
};

} // namespace caraway
