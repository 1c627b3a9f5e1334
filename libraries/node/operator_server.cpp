#include "node/operator_server.hpp"

#include <QHostAddress>
#include <QHttpServer>
#include <QHttpServerResponder>
#include <QHttpServerResponse>

namespace caraway {

namespace {

using status_code = QHttpServerResponse::StatusCode;

QHttpServerResponse plain_text(std::string const& text, status_code code = status_code::Ok) {
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

operator_server::operator_server(status_source source, status_source detailed_source)
    : status(std::move(source)), detailed_status(std::move(detailed_source)),
      server(std::make_unique<QHttpServer>()) {
    this->server->route("/health", [] { return plain_text("ok\n"); });
    this->server->route("/ready", [this] {
        bool const ready = this->status()->ready;
        return plain_text(ready ? "ready\n" : "not ready\n",
                          ready ? status_code::Ok : status_code::ServiceUnavailable);
    });
    this->server->route("/metrics", [this] { return plain_text(this->detailed_status()->metrics_text); });
    this->server->route("/configuration", [this] {
        auto const snapshot = this->status();
        bool const has_one = snapshot->configuration != nullptr && snapshot->configuration_revision > 0;
        return has_one
                   ? QHttpServerResponse("application/json",
                                         QByteArray::fromStdString(bundle_to_json(*snapshot->configuration)))
                   : plain_text("no configuration is in force\n", status_code::NotFound);
    });
    this->server->route("/status", [this] {
        return QHttpServerResponse("application/json",
                                   QByteArray::fromStdString(this->detailed_status()->status_json));
    });
}

operator_server::~operator_server() = default;

result<void> operator_server::open(endpoint const& address) {
    return listen(*this->server, address, "operators'");
}

result<void> operator_server::open_readiness(endpoint const& address) {
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
