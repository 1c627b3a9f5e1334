#include "node/operator_page.hpp"

#include <QHostAddress>
#include <QHttpServer>
#include <QHttpServerResponder>
#include <QHttpServerResponse>

namespace caraway {

namespace {

using status_code = QHttpServerResponse::StatusCode;

QHttpServerResponse plain(std::string const& text, status_code code = status_code::Ok) {
    return {"text/plain", QByteArray::fromStdString(text), code};
}

result<void> listen(QHttpServer& server, endpoint const& address, std::string const& name) {
    if (server.listen(QHostAddress(QString::fromStdString(address.address)), address.port) == 0) {
        return fail(
            {result_code::io_failed, "The " + name + " address " + address.text() + " can't be opened."});
    }
    return {};
}

} // namespace

operator_page::operator_page(status_source source, status_source text_source)
    : status(std::move(source)), texts(std::move(text_source)), server(std::make_unique<QHttpServer>()) {
    this->server->route("/health", [] { return plain("ok\n"); });
    this->server->route("/ready", [this] {
        bool const ready = this->status()->ready;
        return plain(ready ? "ready\n" : "not ready\n",
                     ready ? status_code::Ok : status_code::ServiceUnavailable);
    });
    this->server->route("/metrics", [this] { return plain(this->texts()->metrics_text); });
    this->server->route("/status", [this] {
        return QHttpServerResponse("application/json", QByteArray::fromStdString(this->texts()->status_json));
    });
}

operator_page::~operator_page() = default;

result<void> operator_page::open(endpoint const& address) {
    return listen(*this->server, address, "operators'");
}

result<void> operator_page::open_readiness(endpoint const& address) {
    this->readiness = std::make_unique<QHttpServer>();
    this->readiness->setMissingHandler([this](QHttpServerRequest const&, QHttpServerResponder&& responder) {
        bool const ready = this->status()->ready;
        responder.write(QByteArray(ready ? "ready\n" : "not ready\n"), "text/plain",
                        ready ? QHttpServerResponder::StatusCode::Ok
                              : QHttpServerResponder::StatusCode::ServiceUnavailable);
    });
    return listen(*this->readiness, address, "readiness");
}

} // namespace caraway
