/// A stand-in for the platform: serves values to read and to watch, and the host list. It can be made slow,
/// stale or unavailable.
#pragma once

#include "standins/http_service.hpp"

#include "config/bundle.hpp"
#include "node/host_list.hpp"

#include <map>
#include <mutex>

namespace caraway::standins {

enum class platform_fault : std::uint8_t { none, stale, down };

class platform_standin {
public:
    platform_standin(std::string const& address, std::uint16_t port);

    /// Publishes all values, the manifest last.
    void publish(bundle const& content);
    void publish_hosts(std::vector<listed_host> const& hosts,
                       std::vector<evacuated_domain> const& evacuated_domains = {});

    /// `stale` keeps serving the values of this moment; `down` answers every request with 503.
    void set_fault(platform_fault fault);
    /// Delays the response to every watch, so that readers see new values this much later.
    void set_delay(std::chrono::milliseconds span) { this->delay_ms = span.count(); }

    std::uint64_t call_count() const { return this->calls; }
    std::uint64_t host_revision() const { return this->hosts_revision; }

private:
    struct stored_value {
        std::uint64_t revision{0};
        std::string text;
    };
    using value_map = std::map<std::string, stored_value>;

    asio::awaitable<http_response> handle(http_request request);
    asio::awaitable<http_response> watch(std::string name, std::uint64_t after, std::int64_t wait_ms);
    http_response control(http_request const& request);
    stored_value visible_value(std::string const& name);
    void put(std::string const& name, std::string text);

    std::mutex mutex;
    value_map values;
    value_map stale_values;
    std::uint64_t next_revision{1};
    std::atomic<std::uint64_t> hosts_revision{0};
    std::atomic<platform_fault> fault{platform_fault::none};
    std::atomic<std::int64_t> delay_ms{0};
    std::atomic<std::uint64_t> calls{0};
    http_service service;
};

} // namespace caraway::standins
