/// One connection of the door.
#pragma once

#include "http/door.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace caraway {

class door_session : public std::enable_shared_from_this<door_session> {
public:
    door_session(door& owner, boost::asio::ip::tcp::socket socket);
    ~door_session();
    door_session(door_session const&) = delete;
    door_session& operator=(door_session const&) = delete;

    void read();
    void write(door_answer&& answer);
    /// Closes the connection unless a request is being worked on.
    void close_if_idle();

private:
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void on_read(boost::system::error_code error);
    void refuse(boost::system::error_code error);
    void watch_for_hang_up();
    void on_readable(boost::system::error_code error);
    void send(std::uint16_t status, header_list const& headers, std::string body, bool keep_alive);
    void send_problem(result_code code, bool keep_alive);

    door& server;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::optional<parser_type> parser;
    std::optional<boost::beast::http::response<boost::beast::http::string_body>> response;
    std::uint64_t current{0}; ///< The request being worked on; 0 when none is.
    bool keep_alive{true};
    bool writing{false};
    bool head{false}; ///< The request's method is HEAD.
};

} // namespace caraway
