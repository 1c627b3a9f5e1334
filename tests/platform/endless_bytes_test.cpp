/// Bytes without end from the platform.

#include "platform/followed_registry.hpp"

#include "http/sequential_target.hpp"
#include "platform/platform_client.hpp"
#include "support/endless_stream.hpp"

#include <atomic>
#include <thread>

using namespace caraway;
using namespace caraway::registry;
using namespace caraway::tests;

namespace {

constexpr int max_answer_ms = 6000;

void process_events_until(std::function<bool()> const& condition, int limit_ms) {
    QElapsedTimer timer;
    timer.start();
    while (!condition() && timer.elapsed() < limit_ms) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    }
}

} // namespace

// A platform whose answer does not end must not fill the memory of the hosts that read it.
TEST_CASE("an answer of the platform without end takes bounded memory and ends the call") {
    application();
    auto streams = endless_messages("HTTP/1.1 200 OK\r\n");
    streams.push_back({"first line", "HTTP/1.1 200 ", std::string(filler_bytes, 'a')});
    streams.push_back({"body without a length", "HTTP/1.1 200 OK\r\n\r\n", std::string(filler_bytes, 'a')});
    for (auto const& stream : streams) {
        CAPTURE(stream.name);
        auto const port = next_port();
        std::atomic<std::size_t> taken{0};
        std::atomic<bool> has_ended{false};
        sequential_target const server(port, [&](boost::asio::ip::tcp::socket& socket) {
            char request[1024];
            ::recv(socket.native_handle(), request, sizeof request, 0);
            taken += write_endlessly(socket.native_handle(), stream);
            has_ended = true;
        });
        platform_client client("http://127.0.0.1:" + std::to_string(port));
        bool has_failed = false;
        client.get("/document", duration{1000},
                   [&](platform_reply const& reply) { has_failed = !reply.is_ok(); });
        process_events_until([&] { return has_failed && has_ended; }, max_answer_ms);
        CHECK(has_failed);
        CHECK(has_ended);
        CHECK(taken < max_bytes_taken);
    }
}
