/// One connection of an HTTP listener.
#pragma once

#include "http/http_listener.hpp"
#include "http/message_bodies.hpp"
#include "http/transfer_progress.hpp"

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
    /// Closes the connection if its peer has been inactive for the idle timeout, or has not sent a whole
    /// header in its time. Waiting for the node's answer does not count as inactivity.
    void close_if_timed_out(time_point now);

    /// What the connection is used for, in the order in which connections give up their places.
    enum class place_use : std::uint8_t { none, unproven, idle, stalled, in_use };
    place_use use_of_place(time_point now) const;
    /// When the peer last sent or took anything.
    time_point last_progress() const;
    bool is_open() const { return this->stream.socket().is_open(); }
    /// Memory that the peer's unfinished request takes; 0 when none is arriving.
    std::size_t arriving_bytes() const;
    bool arrives_too_slowly(time_point now) const { return this->arrival_progress.is_too_slow(now); }
    /// Whether an answer is being written that the peer takes too slowly.
    bool is_read_too_slowly(time_point now) const {
        return this->writing && this->answer_progress.is_too_slow(now);
    }
    /// Answers the unfinished request as not run, closes the connection after that, and frees its memory now.
    void refuse_arriving();
    /// Closes the connection with its answers unsent. Their charges end now, and their memory as soon as the
    /// write has been aborted.
    void abandon_answers();
    void close() { this->disconnect(); }

private:
    using parser_type = boost::beast::http::request_parser<received_body>;
    using response_type = boost::beast::http::response<shared_body>;
    using serializer_type = boost::beast::http::response_serializer<shared_body>;

    /// A request that was read and whose answer is not being written yet. Kept in the order of arrival.
    struct pending_request {
        std::uint64_t id{0}; ///< 0 if the listener itself answers.
        bool keep_alive{true};
        bool is_head{false};
        std::optional<listener_answer> answer;
    };

    /// Receives what has arrived, up to a bound.
    void receive();
    void on_received(boost::system::error_code error, std::size_t size);
    /// Reads on the rest of the request, or handles it once it is complete.
    void parse_received();
    /// Whether a body or an answer passes over the connection at a sound pace.
    bool is_transferring(time_point now) const;
    /// What the unfinished request takes.
    std::size_t arriving_size() const;
    /// Draws that; false if the memory has no room.
    bool charge_arriving();
    /// Frees the memory of the unfinished request, of which nothing more is read.
    void drop_arriving();
    void free_buffer();
    /// Receives what has arrived, if anything; nothing once the peer has closed or reset the connection.
    std::optional<std::size_t> receive_ready(boost::asio::mutable_buffer room);
    void on_request();
    /// The body with the charge for the whole request, which takes `size` bytes; nothing if the memory has no
    /// room.
    std::optional<message_body> take_body(body_builder&& body, std::size_t size);
    /// Answers a malformed or oversized request and closes the connection after it; only closes the
    /// connection if there is no request to answer.
    void on_read_error(boost::system::error_code error);
    void answer_error(result_code code, bool keep_alive, bool is_head);
    void add_pending(pending_request&& request);
    void write_next();
    void write_more();
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
    memory_charge arriving_charge;          ///< For the unfinished request, and for what is read ahead.
    std::size_t parsed_bytes{0};            ///< Of the unfinished request.
    transfer_progress arrival_progress;     ///< Of the unfinished request.
    std::optional<time_point> header_began; ///< Set while a header has come in part.
    std::optional<response_type> response;
    std::optional<serializer_type> serializer;
    transfer_progress answer_progress;
    std::deque<pending_request> pending;
    time_point last_activity; ///< When the peer last sent a complete request or received a complete answer.
    bool reading{false};
    bool writing{false};
    bool watching{false};
    bool closing{false}; ///< No further request is read.
    bool lingering{false};
    bool refused{false}; ///< The unfinished request has been answered.
    bool has_sent_request{false};
    bool header_is_overdue{false};
    std::size_t lingered_bytes{0}; ///< Discarded so far.
};

} // namespace caraway
