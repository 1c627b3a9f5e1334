/// How soon a reader of the product's own platform follows it again after a connection has gone silent.
#include "platform/followed_registry.hpp"

#include "platform/document_source.hpp"
#include "standins/platform_standin.hpp"

using namespace caraway;
using namespace caraway::registry;

namespace {

/// A configuration is in force on every host within 4 s; the rest of that is for the other hosts.
constexpr int max_reading_ms = 3300;

bundle configuration_of(std::uint64_t revision) {
    return attempt_or([&] { return make_bundle({}, revision); }, [](problem const&) { return bundle{}; });
}

} // namespace

// Each watch was waited for up to 15 s before its connection was taken for silent.
TEST_CASE("a document that is published after a connection has gone silent is read within 3.3 s") {
    application();
    auto const platform_port = next_port();
    auto const proxy_port = next_port();
    standins::platform_standin platform("127.0.0.1", platform_port);
    standins::fault_proxy proxy("127.0.0.1", proxy_port, "127.0.0.1", platform_port);
    std::uint64_t read = 0;
    document_source source(
        "http://127.0.0.1:" + std::to_string(proxy_port),
        platform_callbacks{.on_configuration =
                               [&](bundle&& content) {
                                   read = attempt_or([&] { return parse_manifest(content.manifest_text); },
                                                     [](problem const&) { return manifest{}; })
                                              .revision;
                               },
                           .on_hosts = [](std::string&&) {},
                           .on_failure = [](std::string const&) {}});
    source.set_active(true);
    platform.publish(configuration_of(1));
    REQUIRE(followed_registry::wait_for([&] { return read == 1; }));
    proxy.set_fault(standins::link_fault::silent, [](std::string const&) { return true; });
    platform.publish(configuration_of(2));
    QElapsedTimer timer;
    timer.start();
    REQUIRE(followed_registry::wait_for([&] { return read == 2; }));
    CHECK(timer.elapsed() <= max_reading_ms);
}
