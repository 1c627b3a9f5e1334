/// The one HTTP client towards the platform, by Qt's network access: GET only, so that Qt's own resending
/// does no harm. Runs on the thread of the Qt event loop.
#pragma once

#include <QNetworkAccessManager>

#include <cstdint>
#include <functional>
#include <string>

class QNetworkReply;

namespace caraway {

class platform_client {
public:
    /// `base_url` stands before every path. A call without any progress for `timeout_ms` fails.
    platform_client(std::string base_url, int timeout_ms);

    /// The handler gets the finished reply, failed or not.
    void get(std::string const& path, std::function<void(QNetworkReply&)> handler);

    /// Calls made so far; the platform counts a waiting watch as one.
    std::uint64_t call_count() const { return this->calls; }

private:
    std::string url;
    QNetworkAccessManager network;
    std::uint64_t calls{0};
};

} // namespace caraway
