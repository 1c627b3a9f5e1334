/// Answers of a faulty target that can't be read in exactly one way are never delivered, and every sound
/// answer is.

#include "http/response_reader.hpp"
#include "http/scripted_target.hpp"

#include <boost/beast/core/flat_buffer.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <unistd.h>
#include <vector>

using namespace caraway;
using namespace caraway::tests;

namespace {

/// The id and the integrity field of an answer to the request "r1".
std::string const own_fields = "Id: r1\r\nMark: m\r\n";
std::string const own_head = "HTTP/1.1 200 OK\r\n" + own_fields;

std::uint16_t next_port() {
    static std::uint16_t port = static_cast<std::uint16_t>(22'500 + ::getpid() % 1000);
    return ++port;
}

/// The head of a sound answer with one more line, and its body.
std::string with_line(std::string const& line) {
    return own_head + line + "\r\nContent-Length: 4\r\n\r\nbody";
}

std::string with_status_line(std::string const& line) {
    return line + "\r\n" + own_fields + "Content-Length: 4\r\n\r\nbody";
}

std::string with_framing(std::string const& fields, std::string const& bytes) {
    return own_head + fields + "\r\n" + bytes;
}

std::string chunked(std::string const& bytes) {
    return with_framing("Transfer-Encoding: chunked\r\n", bytes);
}

/// The answer of the client to one request, whose target sends the bytes and closes the connection.
target_answer answer_to(std::string const& bytes) {
    auto const port = next_port();
    scripted_target const target(port, {bytes});
    strict_client client(port);
    return client.ask("r1");
}

void check_refused(std::string const& bytes) {
    CAPTURE(bytes);
    auto const answer = answer_to(bytes);
    CHECK(answer.code != result_code::ok);
    CHECK(answer.result == outcome::unknown);
    CHECK(answer.headers.empty());
    CHECK(answer.body.empty());
}

target_answer check_delivered(std::string const& bytes, std::string const& body) {
    CAPTURE(bytes);
    auto const answer = answer_to(bytes);
    CHECK(answer.code == result_code::ok);
    CHECK(answer.result == outcome::ran);
    CHECK(answer.status == 200);
    CHECK(answer.body == body);
    return answer;
}

std::string field_of(target_answer const& answer, std::string_view name) {
    auto const found = std::ranges::find(answer.headers, name, &header_field::name);
    return found == answer.headers.end() ? "(none)" : found->value;
}

/// Whether the parser takes the bytes for a whole response when they arrive in pieces of this size.
bool is_parsed_in_pieces(std::string const& bytes, std::size_t piece_size) {
    response_reader reader({.header = 4096, .body = 4096});
    reader.start();
    auto& parser = reader.parser();
    parser.eager(true); // As the read operations do.
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    for (std::size_t first = 0; first < bytes.size() && !parser.is_done(); first += piece_size) {
        auto const piece = std::string_view(bytes).substr(first, piece_size);
        auto const room = buffer.prepare(piece.size());
        std::ranges::copy(piece, static_cast<char*>(room.data()));
        buffer.commit(piece.size());
        buffer.consume(parser.put(buffer.data(), error));
        if (error && error != boost::beast::http::error::need_more) {
            return false;
        }
    }
    return parser.is_done();
}

bool is_control(char byte) {
    auto const code = static_cast<unsigned char>(byte);
    return code < 0x20 || code == 0x7f;
}

} // namespace

TEST_CASE("an answer with a byte in a field's name that no name may hold is refused") {
    std::string const separators = " \"(),/;<=>?@[\\]{}";
    for (int code = 0; code <= 0xff; ++code) {
        auto const byte = static_cast<char>(code);
        if (!is_control(byte) && code < 0x80 && separators.find(byte) == std::string::npos) {
            continue;
        }
        CAPTURE(code);
        check_refused(with_line(std::string("Na") + byte + "me: x"));
        check_refused(with_line(std::string("Name") + byte + ": x"));
    }
    check_refused(with_line(": x"));
    check_refused(with_line("Name"));
    check_refused("HTTP/1.1 200 OK\r\n Name: x\r\n" + own_fields + "Content-Length: 4\r\n\r\nbody");
}

TEST_CASE("an answer with a control byte in a value or in its reason is refused") {
    for (int code = 0; code <= 0x7f; ++code) {
        auto const byte = static_cast<char>(code);
        if (!is_control(byte) || byte == '\t') {
            continue;
        }
        CAPTURE(code);
        check_refused(with_line(std::string("Name: a") + byte + "b"));
        check_refused(with_status_line(std::string("HTTP/1.1 200 O") + byte + "K"));
    }
}

TEST_CASE("an answer whose first line has another form is refused") {
    for (auto const* line :
         {"HTTP/0.9 200 OK",  "HTTP/1.2 200 OK",  "HTTP/2.0 200 OK",  "HTTP/1 200 OK",   "http/1.1 200 OK",
          "HTTP/11 200 OK",   "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 2 OK",   "HTTP/1.1 20 OK",
          "HTTP/1.1 2000 OK", "HTTP/1.1 20x OK",  "HTTP/1.1 -20 OK",  "HTTP/1.1 +20 OK", "HTTP/1.1 OK",
          "HTTP/1.1 200",     "200 OK",           " HTTP/1.1 200 OK", "ICY 200 OK",      "GET / HTTP/1.1"}) {
        check_refused(with_status_line(line));
    }
    check_refused("HTTP/1.1 200 OK\n" + own_fields + "Content-Length: 4\r\n\r\nbody");
    check_refused("\r\n" + own_head + "Content-Length: 4\r\n\r\nbody");
}

TEST_CASE("an answer whose length can be read in several ways is refused") {
    for (auto const* fields :
         {"Content-Length: 4\r\nContent-Length: 3\r\n", "Content-Length: 4, 3\r\n", "Content-Length: -4\r\n",
          "Content-Length: +4\r\n", "Content-Length: 0x4\r\n", "Content-Length: 4 4\r\n",
          "Content-Length: four\r\n", "Content-Length:\r\n", "Content-Length: 18446744073709551620\r\n",
          "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", "Transfer-Encoding: gzip\r\n",
          "Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip, chunked\r\n",
          "Transfer-Encoding: chunked, gzip\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding:\r\n"}) {
        check_refused(with_framing(fields, "4\r\nbody\r\n0\r\n\r\n"));
    }
}

TEST_CASE("an answer with a broken chunk is refused") {
    for (auto const* bytes :
         {"g\r\nbody\r\n0\r\n\r\n", "\r\nbody\r\n0\r\n\r\n", " 4\r\nbody\r\n0\r\n\r\n",
          "0x4\r\nbody\r\n0\r\n\r\n", "-4\r\nbody\r\n0\r\n\r\n", "4\nbody\r\n0\r\n\r\n", "4\r\nbody0\r\n\r\n",
          "4\r\nbodybody\r\n0\r\n\r\n", "10000000000000004\r\nbody\r\n0\r\n\r\n",
          "4;a b\r\nbody\r\n0\r\n\r\n", "4\r\nbody\r\n0\r\nName\r\n\r\n",
          "4\r\nbody\r\n0\r\nNa me: x\r\n\r\n", "4\r\nbody\r\n", "4\r\nbo"}) {
        check_refused(chunked(bytes));
    }
}

TEST_CASE("an answer with any final status is delivered, whether it is registered or not") {
    constexpr unsigned int first_status = 200;
    constexpr unsigned int last_status = 599;
    std::vector<std::string> script;
    for (auto status = first_status; status <= last_status; ++status) {
        bool const has_body = status != 204 && status != 304;
        script.push_back("HTTP/1.1 " + std::to_string(status) + " \r\n" +
                         (has_body ? "Content-Length: 4\r\n\r\nbody" : "\r\n"));
    }
    auto const port = next_port();
    scripted_target const target(port, script);
    sequential_client client(port);
    for (auto status = first_status; status <= last_status; ++status) {
        auto const answer =
            client.send({.method = "GET", .path = "/", .deadline = monotonic_clock::now() + duration{5000}});
        CHECK(answer.code == result_code::ok);
        CHECK(answer.status == status);
    }
    CHECK(target.connections == 1);
}

TEST_CASE("an answer with rare but sound fields is delivered as it was sent") {
    std::string const token = "!#$%&'*+-.^_`|~0123456789ABCXYZabcxyz";
    CHECK(field_of(check_delivered(with_line(token + ": x"), "body"), token) == "x");
    CHECK(field_of(check_delivered(with_line("Name: caf\xc3\xa9 \xff"), "body"), "Name") ==
          "caf\xc3\xa9 \xff");
    CHECK(field_of(check_delivered(with_line("Name: a\tb  c"), "body"), "Name") == "a\tb  c");
    CHECK(field_of(check_delivered(with_line("Name:\t x \t"), "body"), "Name") == "x");
    CHECK(field_of(check_delivered(with_line("Name:x"), "body"), "Name") == "x");
    CHECK(field_of(check_delivered(with_line("Name:"), "body"), "Name").empty());
    CHECK(field_of(check_delivered(with_line("Name: \t"), "body"), "Name").empty());
    auto const twice = check_delivered(with_line("Name: a\r\nName: b"), "body");
    CHECK(std::ranges::count(twice.headers, "Name", &header_field::name) == 2);
    check_delivered(with_status_line("HTTP/1.1 200 "), "body");
    check_delivered(with_status_line("HTTP/1.1 200 tr\xc3\xa8s\tbien"), "body");
}

TEST_CASE("an answer is delivered whole in each form that states where its body ends") {
    check_delivered(own_head + "\r\nup to the end", "up to the end");
    check_delivered(own_head + "\r\n", "");
    check_delivered(own_head + "Content-Length: 0\r\n\r\n", "");
    check_delivered("HTTP/1.0 200 OK\r\n" + own_fields + "\r\nold", "old");
    check_delivered("HTTP/1.0 200 OK\r\n" + own_fields + "Content-Length: 3\r\n\r\nold", "old");
    check_delivered(chunked("4\r\nbody\r\n0\r\n\r\n"), "body");
    check_delivered(chunked("2;a=b;c=\"d e\"\r\nbo\r\n02 ; x\r\ndy\r\n000;last\r\n\r\n"), "body");
    check_delivered(chunked("0\r\n\r\n"), "");
    check_delivered(chunked("4\r\nbody\r\n0\r\nDigest: d\r\nEmpty:\r\n\r\n"), "body");
}

// A target in trouble answered with status 000, and its caller got that as an answer.
TEST_CASE(
    "an answer with a status that no answer may have is refused, and its connection is not used again") {
    for (std::string const status : {"000", "001", "010", "042", "099", "101", "600", "700", "999"}) {
        for (std::string const method : {"GET", "POST"}) {
            CAPTURE(status);
            CAPTURE(method);
            auto const port = next_port();
            auto const first_line = "HTTP/1.1 " + status + " Odd";
            auto const sound = answer_text("200 OK", own_fields, "own");
            scripted_target const target(port, {with_status_line(first_line), sound}, {sound});
            strict_client client(port);
            auto const refused = client.ask("r1", method);
            CHECK(refused.code == result_code::target_malformed);
            CHECK(refused.result == outcome::unknown);
            CHECK_FALSE(refused.statement);
            CHECK(client.ask("r1", method).body == "own");
            CHECK(target.connections == 2);
        }
    }
}

TEST_CASE("a health check that is answered with a status that no answer may have tells nothing") {
    for (std::string const status : {"000", "099", "600", "999"}) {
        CAPTURE(status);
        auto const port = next_port();
        scripted_target const target(
            port, {answer_text(status + " Odd", "Answering: i-1\r\nX-Caraway-Cold-Ms: 900\r\n", "")});
        strict_client client(port);
        auto const checked = client.check_health();
        CHECK(checked.code == result_code::target_malformed);
        CHECK_FALSE(checked.statement);
    }
}

TEST_CASE("a late answer to another request is not skipped if its status is one that no answer may have") {
    std::string const late = "HTTP/1.1 000 Odd\r\nId: r0\r\nMark: m\r\nContent-Length: 0\r\n\r\n";
    check_refused(late + with_line("Name: x"));
}

// A line that began with a blank was joined to the value before it, so that callers got a value, or with a
// folded Content-Length a body, that was not the target's.
TEST_CASE("an answer with a line that begins with a blank or a tab is refused") {
    for (std::string const blank : {" ", "\t", "  ", " \t "}) {
        check_refused(with_line("Name: a\r\n" + blank + "b"));
        check_refused(with_line("Name: a\r\n" + blank + "Other: b"));
        check_refused(with_line("Name: a\r\n" + blank));
        check_refused(with_line("Name:\r\n" + blank + "a"));
        check_refused(with_line("Name:\r\n" + blank));
        check_refused(with_line("Name:\r\n" + blank + "\r\n" + blank + "a"));
        check_refused("HTTP/1.1 200 OK\r\nMark: m\r\nId:\r\n" + blank +
                      "r1\r\nContent-Length: 4\r\n\r\nbody");
        check_refused(own_head + blank + "Content-Length: 4\r\n\r\nbody, and more");
        check_refused(own_head + "Content-Length:\r\n" + blank + "4\r\n\r\nbody");
        check_refused(chunked("4\r\nbody\r\n0\r\nName: a\r\n" + blank + "b\r\n\r\n"));
    }
}

TEST_CASE("an answer is read or refused in the same way when it arrives in pieces") {
    auto const sound = with_line("Name:\ta \tb \t");
    auto const sound_chunks = chunked("4\r\nbody\r\n0\r\nName: a\r\n\r\n");
    for (std::size_t size = 1; size <= sound.size(); ++size) {
        CAPTURE(size);
        CHECK(is_parsed_in_pieces(sound, size));
        CHECK(is_parsed_in_pieces(sound_chunks, size));
        CHECK_FALSE(is_parsed_in_pieces(with_line("Name: a\r\n b"), size));
        CHECK_FALSE(is_parsed_in_pieces(with_line("Name:\r\n\ta"), size));
        CHECK_FALSE(is_parsed_in_pieces(with_status_line("HTTP/1.1 000 Odd"), size));
    }
}

// Fields of a trailer were taken for fields of the head: a trailer could make another target's bytes an
// answer of the request, or state that a request had not run whose answer had been sent.
TEST_CASE("fields behind the last chunk neither decide over an answer nor are passed on") {
    auto const with_trailer = [](std::string const& first_line, std::string const& fields,
                                 std::string const& trailer) {
        return first_line + "\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" +
               trailer + "\r\n";
    };
    std::string const ok = "HTTP/1.1 200 OK";
    check_refused(with_trailer(ok, "Id: r1\r\n", "Mark: m\r\n"));
    check_refused(with_trailer(ok, "Mark: m\r\n", "Id: r1\r\n"));
    check_refused(with_trailer("HTTP/1.1 503 Full", own_fields, "Untouched: 1\r\n"));
    auto const stated = check_delivered(with_trailer(ok, own_fields, "Untouched: 1\r\n"), "body");
    CHECK(field_of(stated, "Untouched") == "(none)");
    auto const whole = check_delivered(
        with_trailer(ok, own_fields + "Name: a\r\n", "Name: b\r\nMark: n\r\nX-Caraway-Leaving: 1\r\n"),
        "body");
    CHECK(std::ranges::count(whole.headers, "Name", &header_field::name) == 1);
    CHECK(std::ranges::count(whole.headers, "Mark", &header_field::name) == 1);
    REQUIRE(whole.statement);
    CHECK_FALSE(whole.statement->leaving);
}

// An interim response was taken for the final one: its caller got status 100, or 502 in place of the answer
// that followed.
TEST_CASE("interim responses are skipped, and the final one is delivered") {
    std::string const proceed = "HTTP/1.1 100 Continue\r\n\r\n";
    std::string const hints = "HTTP/1.1 103 Early Hints\r\n" + own_fields + "Name: hint\r\n\r\n";
    auto const final_answer = with_line("Name: x");
    for (auto const& interim : {proceed, hints, proceed + hints + "HTTP/1.1 199 \r\n\r\n" + proceed,
                                std::string("HTTP/1.1 102 Odd\r\nContent-Length: 4\r\n\r\n")}) {
        auto const answer = check_delivered(interim + final_answer, "body");
        CHECK(std::ranges::count(answer.headers, "Name", &header_field::name) == 1);
        CHECK(field_of(answer, "Name") == "x");
    }
    auto const port = next_port();
    auto const sound = answer_text("200 OK", own_fields, "own");
    scripted_target const target(port, {proceed + sound, sound});
    strict_client client(port);
    CHECK(client.ask("r1").body == "own");
    CHECK(client.ask("r1", "POST").body == "own");
    CHECK(target.connections == 1);
}

TEST_CASE("an interim response without a final one is no answer") {
    std::string const proceed = "HTTP/1.1 100 Continue\r\n" + own_fields + "\r\n";
    check_refused(proceed);
    check_refused(proceed + "body");
    check_refused("HTTP/1.1 101 Switching Protocols\r\n" + own_fields + "\r\n" + with_line("Name: x"));
    std::string many;
    for (int count = 0; count < 1000; ++count) {
        many += proceed;
    }
    check_refused(many + with_line("Name: x"));
}

TEST_CASE("a health check skips interim responses") {
    auto const port = next_port();
    scripted_target const target(port,
                                 {"HTTP/1.1 103 Early Hints\r\nAnswering: i-2\r\n\r\n" +
                                  answer_text("200 OK", "Answering: i-1\r\nX-Caraway-Cold-Ms: 900\r\n", "")});
    strict_client client(port);
    auto const checked = client.check_health();
    CHECK(checked.status == 200);
    REQUIRE(checked.statement);
    CHECK(checked.statement->cold_ms == 900.0);
}

// The first of two ids, seals or instances decided, so that one answer belonged to two requests.
TEST_CASE("an answer whose deciding fields contradict each other is refused") {
    for (std::string const first : {"Id: r1\r\nId: r0\r\nMark: m\r\n", "Id: r0\r\nId: r1\r\nMark: m\r\n",
                                    "Id: r1\r\nMark: m\r\nMark: n\r\n", "Id: r1\r\nId:\r\nMark: m\r\n"}) {
        check_refused("HTTP/1.1 200 OK\r\n" + first + "Content-Length: 4\r\n\r\nbody");
    }
    check_delivered(with_line("Id: r1\r\nMark: m"), "body");
    auto const port = next_port();
    scripted_target const target(
        port, {answer_text("200 OK", "Answering: i-1\r\nAnswering: i-2\r\nX-Caraway-Cold-Ms: 900\r\n", "")});
    strict_client client(port);
    auto const checked = client.check_health();
    CHECK(checked.code == result_code::target_malformed);
    CHECK_FALSE(checked.statement);
}
