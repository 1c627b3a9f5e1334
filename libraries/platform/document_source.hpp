/// Reads the configuration and the host list from a platform that serves them as named documents.
///
/// Uses long polling: each watch waits at the platform until its document changes. A failed request is
/// retried after a pause. Runs on the thread of the Qt event loop.
#pragma once

#include "platform/platform_client.hpp"
#include "platform/platform_source.hpp"
#include "platform/service_monitor.hpp"

#include <QTimer>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

class document_source : public platform_source {
public:
    document_source(std::string base_url, platform_callbacks handlers);

    void set_active(bool active) override;

    /// Requests sent so far; a watch that waits at the platform is one request.
    std::uint64_t call_count() const { return this->client.call_count(); }

private:
    struct watch {
        std::string name;
        std::string known_revision{"0"}; ///< The platform's revision of the last document received.
        bool request_pending{false};
        bool has_failed{false}; ///< The last request failed.
        time_point sent_at;     ///< Of the last request.
    };
    using text_handler = std::function<void(std::string&&)>;

    void start_watch(watch& current);
    void on_watched(watch& current, platform_reply const& reply);
    void on_manifest(std::string&& text);
    void fetch_missing_value();
    void report_failure(std::string const& reason);

    platform_callbacks callbacks;
    service_monitor service;
    platform_client client;
    QTimer retry_timer;
    bool is_active{false};
    watch manifest_watch{"manifest"};
    watch hosts_watch{"hosts"};
    bundle current_bundle; ///< The last complete bundle; its unchanged values are not fetched again.
    std::optional<bundle> incoming_bundle;
    std::vector<std::string> missing_values;
};

} // namespace caraway
