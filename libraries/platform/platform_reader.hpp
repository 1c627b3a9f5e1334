/// Reads and watches the platform's configuration values and host list over HTTP, by Qt's network access.
///
/// Only GET is sent, so that Qt's own resending does no harm. Each watch waits at the platform; a failure is
/// tried again after a pause. Runs on the thread of the Qt event loop.
#pragma once

#include "config/bundle.hpp"

#include <QNetworkAccessManager>
#include <QTimer>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

class QNetworkReply;

namespace caraway {

struct platform_events {
    std::function<void(bundle&&)> configuration;
    /// The host list as the platform's JSON text.
    std::function<void(std::string&&)> hosts;
    std::function<void(std::string const& reason)> failure;
};

class platform_reader {
public:
    platform_reader(std::string base_url, platform_events handlers);

    /// Starts or stops watching; a watch under way is left to end by itself.
    void set_active(bool active);

    /// Calls made so far; the platform counts a waiting watch as one.
    std::uint64_t call_count() const { return this->calls; }

private:
    struct watch {
        std::string name;
        std::string after{"0"}; ///< The platform's own revision of the value.
        bool running{false};
    };
    using text_handler = std::function<void(std::string&&)>;

    void start(watch& wanted);
    void on_watched(watch& wanted, QNetworkReply& reply);
    void take_manifest(std::string&& text);
    void fetch_next();
    void get(std::string const& path, std::function<void(QNetworkReply&)> handler);
    void fail(std::string const& reason);

    std::string url;
    platform_events events;
    QNetworkAccessManager network;
    QTimer retry;
    bool is_active{false};
    watch manifest_watch{"manifest"};
    watch hosts_watch{"hosts"};
    bundle held; ///< The last whole bundle, for the values that did not change.
    std::optional<bundle> gathering;
    std::vector<std::string> missing;
    std::uint64_t calls{0};
};

} // namespace caraway
