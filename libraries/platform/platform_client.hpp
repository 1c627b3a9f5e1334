/// The HTTP client for the platform, on QNetworkAccessManager. It sends only GET requests, because Qt may
/// resend a request by itself. Runs on the thread of the Qt event loop.
#pragma once

#include <QNetworkAccessManager>

#include <cstdint>
#include <functional>
#include <string>

class QNetworkReply;

namespace caraway {

class platform_client {
public:
    /// `base_url` is prepended to every path. A request without any progress for `timeout_ms` fails.
    platform_client(std::string base_url, int timeout_ms);

    /// The handler gets the finished reply, whether it succeeded or failed.
    void get(std::string const& path, std::function<void(QNetworkReply&)> handler);

    /// Requests sent so far; a watch that waits at the platform is one request.
    std::uint64_t call_count() const { return this->calls; }

private:
    std::string url;
    QNetworkAccessManager network;
    std::uint64_t calls{0};
};

} // namespace caraway
