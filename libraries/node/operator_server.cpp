#include "node/operator_server.hpp"

namespace caraway {

namespace {

constexpr std::size_t max_body_bytes = 4096;
constexpr std::size_t max_connections = 64;
constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_unavailable = 503;

listener_answer make_answer(std::string text, std::uint16_t status = status_ok,
                            std::string const& type = "text/plain") {
    return {.status = status, .headers = {{"Content-Type", type}}, .body = std::move(text)};
}

} // namespace

operator_server::operator_server(status_source source, status_source detailed_source,
                                 event_loop_thread& shared_loop)
    : status(std::move(source)), detailed_status(std::move(detailed_source)), loop(shared_loop) {}

result<void> operator_server::open(endpoint const& address) {
    return this->listen(this->operators, address,
                        [this](std::string_view path) { return this->answer_operator(path); });
}

result<void> operator_server::open_readiness(endpoint const& address) {
    return this->listen(this->readiness, address,
                        [this](std::string_view) { return this->answer_readiness(); });
}

result<void> operator_server::listen(std::unique_ptr<http_listener>& listener, endpoint const& address,
                                     responder respond) {
    listener = std::make_unique<http_listener>(
        listener_settings{.address = address.address,
                          .port = address.port,
                          .max_body = max_body_bytes,
                          .max_connections = max_connections},
        listener_events{.request =
                            [&listener, respond = std::move(respond)](listener_request&& request) {
                                auto const path = std::string_view(request.path);
                                auto answer = respond(path.substr(0, path.find('?')));
                                answer.id = request.id;
                                listener->enqueue_answer(std::move(answer));
                                return true;
                            },
                        .disconnected = [](std::uint64_t) {}},
        event_loop_handle(this->loop));
    return listener->open();
}

listener_answer operator_server::answer_operator(std::string_view path) const {
    if (path == "/health") {
        return make_answer("ok\n");
    }
    if (path == "/ready") {
        return this->answer_readiness();
    }
    if (path == "/metrics") {
        return make_answer(this->detailed_status()->metrics_text);
    }
    if (path == "/status") {
        return make_answer(this->detailed_status()->status_json, status_ok, "application/json");
    }
    if (path != "/configuration") {
        return make_answer("not found\n", status_not_found);
    }
    auto const snapshot = this->status();
    bool const has_one = snapshot->configuration != nullptr && snapshot->configuration_revision > 0;
    return has_one ? make_answer(bundle_to_json(*snapshot->configuration), status_ok, "application/json")
                   : make_answer("no configuration is in force\n", status_not_found);
}

listener_answer operator_server::answer_readiness() const {
    bool const ready = this->status()->ready;
    return make_answer(ready ? "ready\n" : "not ready\n", ready ? status_ok : status_unavailable);
}

} // namespace caraway
