/// The HTTP client for the platform, on QNetworkAccessManager. It sends only GET requests, because Qt may
/// resend a request by itself. Runs on the thread of the Qt event loop.
#pragma once

#include "base/clock.hpp"

#include <QNetworkAccessManager>

#include <cstdint>
#include <functional>
#include <string>

class QNetworkReply;

namespace caraway {

class platform_client {
public:
    /// `base_url` is prepended to every path.
    explicit platform_client(std::string base_url);

    /// The handler gets the finished reply, whether it succeeded or failed. The request fails when it makes
    /// no progress for `timeout`, which Qt's timer may exceed by a twentieth.
    void get(std::string const& path, duration timeout, std::function<void(QNetworkReply&)> handler);

    /// Requests sent so far; a watch that waits at the platform is one request.
    std::uint64_t call_count() const { return this->calls; }

private:
    std::string url;
    QNetworkAccessManager network;
    std::uint64_t calls{0};
};

} // namespace caraway
