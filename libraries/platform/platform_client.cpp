#include "platform/platform_client.hpp"

#include <QNetworkReply>
#include <QNetworkRequest>

namespace caraway {

namespace {

/// A value of one megabyte as JSON text, with room for escape sequences.
constexpr qint64 max_reply_bytes = 4'000'000;

} // namespace

platform_client::platform_client(std::string base_url) : url(std::move(base_url)) {}

void platform_client::get(std::string const& path, duration timeout,
                          std::function<void(QNetworkReply&)> handler) {
    ++this->calls;
    QNetworkRequest request(QUrl(QString::fromStdString(this->url + path)));
    request.setTransferTimeout(static_cast<int>(timeout.milliseconds));
    auto* reply = this->network.get(request);
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
