/// Crowds of clients that send or read badly, against real nodes with lowered limits: no process ends, each
/// stays within the memory of its host, and ordinary callers are answered.

#include "standins/client_crowd.hpp"
#include "support/process_usage.hpp"
#include "system/support.hpp"

#include <array>
#include <cstdio>
#include <sys/wait.h>

using namespace caraway;
using namespace caraway::tests;

namespace {

/// What the settings state; a process at rest takes about a quarter of it.
constexpr std::size_t host_memory_mb = 96;
constexpr std::size_t usual_connections = 2000;
/// Besides connections of callers: listeners, links, the platform, connections to the target, logs.
constexpr std::size_t other_descriptors = 200;
constexpr std::size_t mebibyte = 1U << 20U;
/// Together more than the host's memory.
constexpr std::size_t crowd_size = 60;
constexpr std::size_t crowd_body = 2 * mebibyte;
constexpr std::size_t largest_body = 64 * mebibyte;

std::string configuration() {
    std::string text;
    for (std::string const name : {"front", "back"}) {
        text += "[services." + name + "]\nslots = 50\nconnections = 400\n[routes." + name + "]\npath = \"/" +
                name + "\"\nservice = \"" + name +
                "\"\nidempotent = true\nopen = true\ndeadline_ms = 30000\n";
    }
    return text + "[failure_domains.a]\nweight = 1\n";
}

struct limits {
    std::size_t body{4 * mebibyte};
    std::size_t memory_mb{host_memory_mb};
    std::size_t connections{usual_connections};

    std::string text() const {
        return "[limits]\nmax_body = " + std::to_string(this->body) +
               "\nmemory_mb = " + std::to_string(this->memory_mb) +
               "\nmax_connections = " + std::to_string(this->connections) + "\nmax_pipeline = 8\n";
    }
};

/// The limits that the users publish, on the smallest of their hosts.
constexpr limits published_limits{.body = largest_body, .memory_mb = 160};

/// Two hosts of one failure domain, with the services front and back. Crowds send to the first one, where a
/// request for "/front" runs as well; one for "/back" runs at the other host.
class small_fleet {
public:
    explicit small_fleet(limits const& lowered = {})
        : system({.configuration = configuration(),
                  .hosts = {make_host("front-a", "a", "front", 2), make_host("back-a", "a", "back", 2)},
                  .extra_settings = lowered.text()}),
          max_kilobytes(lowered.memory_mb * 1'000'000 / 1024),
          max_descriptors(lowered.connections + other_descriptors) {
        REQUIRE(this->system.wait_ready());
    }

    std::string const& ip() { return this->system.node(0).ip; }

    /// An ordinary caller comes back after a refusal.
    bool answers_ordinary_requests() {
        return wait_until([this] { return this->system.call(0, "GET", "/front").status == 200; },
                          std::chrono::seconds(10)) &&
               wait_until([this] { return this->system.call(1, "GET", "/front").status == 200; },
                          std::chrono::seconds(10));
    }

    void check_processes() {
        for (std::size_t index = 0; index < this->system.size(); ++index) {
            CAPTURE(index);
            auto const process = this->system.node(index).process;
            CHECK(::waitpid(process, nullptr, WNOHANG) == 0);
            CHECK(peak_resident_kilobytes(process) <= this->max_kilobytes);
            CHECK(open_descriptors(process) <= this->max_descriptors);
        }
    }

    /// With the crowd still there, and once it has gone.
    void check_with_and_after(client_crowd& crowd) {
        CHECK(this->answers_ordinary_requests());
        this->check_processes();
        crowd.close();
        CHECK(this->answers_ordinary_requests());
        this->check_processes();
    }

    fleet system;

private:
    std::size_t max_kilobytes;
    std::size_t max_descriptors;
};

std::string head_of(std::string const& path, std::string const& framing) {
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + framing + "\r\n\r\n";
}

std::string with_length(std::string const& path, std::size_t size) {
    return head_of(path, "Content-Length: " + std::to_string(size)) + std::string(size, 'b');
}

/// Without the last chunk.
std::string unended_chunks(std::string const& path, std::size_t size, std::size_t chunk) {
    auto text = head_of(path, "Transfer-Encoding: chunked");
    std::array<char, 24> line{};
    auto const length = std::snprintf(line.data(), line.size(), "%zx\r\n", chunk);
    std::string const whole_chunk =
        std::string(line.data(), static_cast<std::size_t>(length)) + std::string(chunk, 'b') + "\r\n";
    text.reserve(text.size() + size / chunk * whole_chunk.size());
    for (std::size_t sent = 0; sent < size; sent += chunk) {
        text += whole_chunk;
    }
    return text;
}

/// Until the target has got the requests of the whole crowd, or as many as the nodes let it have.
void wait_for_answers(small_fleet& fixture, std::size_t index) {
    wait_until([&] { return fixture.system.node(index).target->run_count() >= crowd_size; },
               std::chrono::seconds(10));
}

} // namespace

TEST_CASE("a crowd: bodies in large chunks stop just short of their end") {
    small_fleet fixture;
    client_crowd crowd(fixture.ip(), callers_port, crowd_size);
    crowd.send(unended_chunks("/front", crowd_body, 65'536));
    fixture.check_with_and_after(crowd);
}

TEST_CASE("a crowd: bodies in chunks of 16 bytes stop just short of their end") {
    small_fleet fixture;
    client_crowd crowd(fixture.ip(), callers_port, crowd_size);
    crowd.send(unended_chunks("/front", crowd_body, 16));
    fixture.check_with_and_after(crowd);
}

TEST_CASE("a crowd: bodies of a stated length lack their last byte") {
    small_fleet fixture;
    client_crowd crowd(fixture.ip(), callers_port, crowd_size);
    auto text = with_length("/front", crowd_body);
    text.pop_back();
    crowd.send(text);
    fixture.check_with_and_after(crowd);
}

TEST_CASE("a crowd: pipelined whole bodies wait for a slow target") {
    small_fleet fixture;
    client_crowd crowd(fixture.ip(), callers_port, 40);
    std::string text;
    for (int count = 0; count < 4; ++count) {
        text += with_length("/front?work_ms=3000", mebibyte);
    }
    crowd.send(text);
    fixture.check_with_and_after(crowd);
}

TEST_CASE("a crowd: whole bodies for the slow target of another host") {
    small_fleet fixture;
    client_crowd crowd(fixture.ip(), callers_port, crowd_size);
    crowd.send(with_length("/back?work_ms=3000", crowd_body));
    fixture.check_with_and_after(crowd);
}

TEST_CASE("a crowd: a line before a chunk without end") {
    small_fleet fixture;
    client_crowd crowd(fixture.ip(), callers_port, 1000);
    crowd.send(head_of("/front", "Transfer-Encoding: chunked") + "5;" + std::string(79'000, 'x'));
    fixture.check_with_and_after(crowd);
}

TEST_CASE("a crowd: nobody reads the answers of the own target") {
    small_fleet fixture;
    client_crowd crowd(fixture.ip(), callers_port, crowd_size);
    crowd.send("GET /front?size=" + std::to_string(2 * crowd_body) + " HTTP/1.1\r\nHost: x\r\n\r\n");
    wait_for_answers(fixture, 0);
    fixture.check_with_and_after(crowd);
}

TEST_CASE("a crowd: nobody reads the answers of the target of another host") {
    small_fleet fixture;
    client_crowd crowd(fixture.ip(), callers_port, crowd_size);
    crowd.send("GET /back?size=" + std::to_string(2 * crowd_body) + " HTTP/1.1\r\nHost: x\r\n\r\n");
    wait_for_answers(fixture, 1);
    fixture.check_with_and_after(crowd);
}

TEST_CASE("a crowd: headers without end take all places") {
    small_fleet fixture({.connections = 40});
    client_crowd crowd(fixture.ip(), callers_port, 100);
    crowd.send("GET /front HTTP/1.1\r\nHost: x\r\nX-Long: ");
    fixture.check_with_and_after(crowd);
}

TEST_CASE("a crowd: silent connections take all places of the operators' address") {
    small_fleet fixture;
    client_crowd crowd(fixture.ip(), operators_port, 100);
    CHECK(wait_until([&] { return fetch(fixture.ip(), operators_port, "GET", "/ready").status == 200; },
                     std::chrono::seconds(10)));
    fixture.check_with_and_after(crowd);
}

TEST_CASE("a request with the largest body is served in calm") {
    std::string text;
    SUBCASE("with a length, at the own target") {
        text = with_length("/front", largest_body);
    }
    SUBCASE("with a length, at the target of another host") {
        text = with_length("/back", largest_body);
    }
    SUBCASE("in chunks, at the own target") {
        text = unended_chunks("/front", largest_body, 262'144) + "0\r\n\r\n";
    }
    SUBCASE("in chunks, at the target of another host") {
        text = unended_chunks("/back", largest_body, 262'144) + "0\r\n\r\n";
    }
    small_fleet fixture(published_limits);
    test_client client(fixture.ip(), callers_port);
    REQUIRE(client.send_raw(text));
    CHECK(client.read_answer(std::chrono::seconds(30)).status == 200);
    CHECK(fixture.answers_ordinary_requests());
    fixture.check_processes();
}

TEST_CASE("an answer of the largest size is passed on in calm") {
    std::string path;
    SUBCASE("from the own target") {
        path = "/front";
    }
    SUBCASE("from the target of another host") {
        path = "/back";
    }
    small_fleet fixture(published_limits);
    auto const answer = fixture.system.call(0, "GET", path + "?size=" + std::to_string(largest_body), {}, "",
                                            std::chrono::seconds(30));
    CHECK(answer.status == 200);
    CHECK(answer.body.size() == largest_body);
    CHECK(fixture.answers_ordinary_requests());
    fixture.check_processes();
}

TEST_CASE("two requests with the largest body at once are served or refused") {
    small_fleet fixture(published_limits);
    client_crowd crowd(fixture.ip(), callers_port, 2);
    crowd.send(with_length("/front", largest_body));
    fixture.check_with_and_after(crowd);
}
