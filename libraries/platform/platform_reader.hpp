/// Reads and watches the platform's configuration values and host list as documents.
///
/// Each watch waits at the platform; a failure is tried again after a pause. Runs on the thread of the Qt
/// event loop.
#pragma once

#include "platform/platform_client.hpp"
#include "platform/platform_source.hpp"

#include <QTimer>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

class QNetworkReply;

namespace caraway {

class platform_reader : public platform_source {
public:
    platform_reader(std::string base_url, platform_events handlers);

    /// Starts or stops watching; a watch under way is left to end by itself.
    void set_active(bool active) override;

    /// Calls made so far; the platform counts a waiting watch as one.
    std::uint64_t call_count() const { return this->client.call_count(); }

private:
    struct watch {
        std::string name;
        std::string after{"0"}; ///< The platform's own revision of the value.
        bool running{false};
    };
    using text_handler = std::function<void(std::string&&)>;

    void start(watch& wanted);
    void on_watched(watch& wanted, QNetworkReply& reply);
    void on_manifest(std::string&& text);
    void fetch_next();
    void fail(std::string const& reason);

    platform_events events;
    platform_client client;
    QTimer retry;
    bool is_active{false};
    watch manifest_watch{"manifest"};
    watch hosts_watch{"hosts"};
    bundle held; ///< The last whole bundle, for the values that did not change.
    std::optional<bundle> gathering;
    std::vector<std::string> missing;
};

} // namespace caraway
