#include "http_get.hpp"

#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>

namespace caraway {

namespace {

constexpr int timeout_ms = 3000;

} // namespace

result<std::string> http_get(std::string const& url) {
    QNetworkAccessManager network;
    network.setTransferTimeout(timeout_ms);
    auto* reply = network.get(QNetworkRequest(QUrl(QString::fromStdString(url))));
    QEventLoop loop;
    QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    auto const body = reply->readAll().toStdString();
    bool const failed = reply->error() != QNetworkReply::NoError;
    auto const reason = reply->errorString().toStdString();
    delete reply;
    if (failed) {
        return fail({result_code::io_failed, url + ": " + reason + "."});
    }
    return body;
}

} // namespace caraway
