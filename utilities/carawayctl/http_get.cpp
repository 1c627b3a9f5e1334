#include "http_get.hpp"

#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QTimer>

namespace caraway {

namespace {

constexpr int silence_timeout_ms = 3000;
constexpr int timeout_ms = 20'000;
constexpr qsizetype max_body_bytes = 64 * 1024 * 1024;

} // namespace

result<std::string> http_get(std::string const& url) {
    QNetworkAccessManager network;
    network.setTransferTimeout(silence_timeout_ms);
    auto* reply = network.get(QNetworkRequest(QUrl(QString::fromStdString(url))));
    QEventLoop loop;
    QByteArray body;
    std::string limit_reached;
    auto const give_up = [&](std::string const& reason) {
        if (limit_reached.empty()) {
            limit_reached = reason;
            reply->abort();
        }
    };
    QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
    QObject::connect(reply, &QNetworkReply::readyRead, &loop, [&] {
        body += reply->readAll();
        if (body.size() > max_body_bytes) {
            give_up("The answer is over " + std::to_string(max_body_bytes) + " bytes");
        }
    });
    QTimer::singleShot(timeout_ms, &loop,
                       [&] { give_up("No whole answer in " + std::to_string(timeout_ms) + " ms"); });
    loop.exec();
    if (reply->isOpen()) {
        body += reply->readAll();
    }
    bool const failed = reply->error() != QNetworkReply::NoError;
    auto const reason = limit_reached.empty() ? reply->errorString().toStdString() : limit_reached;
    delete reply;
    if (failed || !limit_reached.empty()) {
        return fail({result_code::io_failed, url + ": " + reason + "."});
    }
    return body.toStdString();
}

} // namespace caraway
