#include "platform/platform_client.hpp"

#include <QNetworkReply>
#include <QNetworkRequest>

namespace caraway {

namespace {

/// A value of one megabyte as JSON text, with room for escape sequences.
constexpr qint64 max_reply_bytes = 4'000'000;

} // namespace

platform_client::platform_client(std::string base_url, int timeout_ms) : url(std::move(base_url)) {
    this->network.setTransferTimeout(timeout_ms);
}

void platform_client::get(std::string const& path, std::function<void(QNetworkReply&)> handler) {
    ++this->calls;
    auto* reply = this->network.get(QNetworkRequest(QUrl(QString::fromStdString(this->url + path))));
    QObject::connect(reply, &QNetworkReply::downloadProgress, reply, [reply](qint64 received, qint64) {
        if (received > max_reply_bytes) {
            reply->abort();
        }
    });
    QObject::connect(reply, &QNetworkReply::finished, reply, [reply, handler = std::move(handler)] {
        handler(*reply);
        reply->deleteLater();
    });
}

} // namespace caraway
