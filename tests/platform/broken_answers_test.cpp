/// Answers of the platform that can't be read in exactly one way are not used, and sound ones are.

#include "http/sequential_target.hpp"
#include "platform/followed_registry.hpp"
#include "platform/platform_client.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <optional>

using namespace caraway;
using namespace caraway::registry;
using namespace caraway::tests;

namespace {

std::string const sound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

std::string with_head(std::string const& lines) {
    return "HTTP/1.1 200 OK\r\n" + lines + "\r\n";
}

std::string chunked(std::string const& trailer) {
    return with_head("Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n" + trailer + "\r\n";
}

/// A platform that answers its first request with the given bytes and all later ones soundly.
class answering_platform {
public:
    explicit answering_platform(std::string bytes, int answers_per_connection = 2)
        : first_answer(std::move(bytes)), connection_length(answers_per_connection), port(next_port()),
          server(this->port, [this](boost::asio::ip::tcp::socket& socket) { this->serve(socket); }),
          client("http://127.0.0.1:" + std::to_string(this->port)) {
        application();
    }

    platform_reply get() {
        std::optional<platform_reply> received;
        this->client.get("/document", duration{1000},
                         [&received](platform_reply const& reply) { received = reply; });
        REQUIRE(followed_registry::wait_for([&received] { return received.has_value(); }));
        return *received;
    }

    std::atomic<int> connections{0};

private:
    void serve(boost::asio::ip::tcp::socket& socket) {
        ++this->connections;
        boost::system::error_code error;
        for (int request = 0; request < this->connection_length && !error; ++request) {
            std::string text;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", error);
            bool const is_first = !error && !std::exchange(this->has_answered, true);
            if (!error) {
                boost::asio::write(socket, boost::asio::buffer(is_first ? this->first_answer : sound), error);
            }
        }
    }

    std::string first_answer;
    int connection_length; ///< In answers.
    bool has_answered{false};
    std::uint16_t port;
    sequential_target server;
    platform_client client;
};

} // namespace

// A folded line and a coding that nobody reads were accepted as parts of a whole answer.
TEST_CASE("an answer of the platform that can be read in several ways is not used, nor is its connection") {
    for (std::string const answer :
         {"HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\nbody",
          "HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 101 Odd\r\n\r\n",
          "HTTP/1.1 600 Odd\r\nContent-Length: 4\r\n\r\nbody"}) {
        CAPTURE(answer);
        answering_platform platform(answer);
        auto const reply = platform.get();
        CHECK(reply.status == 0);
        CHECK(reply.body.empty());
        CHECK_FALSE(reply.error.empty());
        CHECK(platform.get().body == "body");
        CHECK(platform.connections == 2);
    }
    for (std::string const lines :
         {"Name: a\r\n b\r\nContent-Length: 4\r\n", "Name:\r\n\ta\r\nContent-Length: 4\r\n",
          "Store-Era: 1\r\n 2\r\nContent-Length: 4\r\n", "Content-Length: 4\r\nContent-Length: 3\r\n",
          "Na me: a\r\nContent-Length: 4\r\n", "Name : a\r\nContent-Length: 4\r\n",
          "Name\x01: a\r\nContent-Length: 4\r\n", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"}) {
        CAPTURE(lines);
        answering_platform platform(with_head(lines) + "body");
        CHECK_FALSE(platform.get().is_ok());
        CHECK(platform.get().body == "body");
        CHECK(platform.connections == 2);
    }
}

TEST_CASE("an answer of the platform in a coding that is not read is not used") {
    for (std::string const coding : {"gzip", "identity", "gzip, chunked"}) {
        CAPTURE(coding);
        answering_platform platform(
            with_head("Transfer-Encoding: " + coding + "\r\n") + "4\r\nbody\r\n0\r\n\r\n", 1);
        CHECK_FALSE(platform.get().is_ok());
    }
}

// Each interim response was taken for an answer, so that no document was read while the platform sent them.
TEST_CASE("interim responses of the platform are skipped") {
    std::string const proceed = "HTTP/1.1 100 Continue\r\n\r\n";
    for (auto const& answer :
         {proceed + sound, proceed + "HTTP/1.1 103 Early Hints\r\nStore-Era: 9\r\n\r\n" + sound}) {
        CAPTURE(answer);
        answering_platform platform(answer);
        auto const reply = platform.get();
        CHECK(reply.status == 200);
        CHECK(reply.body == "body");
        CHECK(reply.header("Store-Era").empty());
        CHECK(platform.get().body == "body");
        CHECK(platform.connections == 1);
    }
    answering_platform unfinished(proceed);
    CHECK(unfinished.get().status == 0);
}

// The era of a registry that had been restored was also read from a trailer.
TEST_CASE("a trailer of the platform's answer adds nothing to its header") {
    answering_platform platform(chunked("Store-Era: 9\r\n"));
    auto const reply = platform.get();
    CHECK(reply.is_ok());
    CHECK(reply.body == "body");
    CHECK(reply.header("Store-Era").empty());
}

// The first of two eras counted, and a later one made every further answer of the platform one of the past.
TEST_CASE("a field of the platform's answer that is given with two values has none") {
    for (std::string const second : {"1", "9"}) {
        CAPTURE(second);
        answering_platform platform(
            with_head("Store-Era: 1\r\nstore-era: " + second + "\r\nContent-Length: 4\r\n") + "body");
        auto const reply = platform.get();
        CHECK(reply.is_ok());
        CHECK(reply.header("Store-Era") == (second == "1" ? "1" : ""));
    }
}

TEST_CASE("a sound answer of the platform is used in each form") {
    for (auto const& answer : {sound, chunked(""), std::string("HTTP/1.1 200 OK\r\n\r\nbody"),
                               std::string("HTTP/1.0 200 \r\nName:\r\nOdd: caf\xc3\xa9\r\n\r\nbody")}) {
        CAPTURE(answer);
        answering_platform platform(answer, 1);
        auto const reply = platform.get();
        CHECK(reply.is_ok());
        CHECK(reply.body == "body");
    }
}
