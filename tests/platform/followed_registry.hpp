/// A simulated registry with three targets, and a source that watches it.
#pragma once

#include "platform/registry_source.hpp"
#include "standins/fault_proxy.hpp"
#include "standins/registry_standin.hpp"
#include "support/application.hpp"

#include <QElapsedTimer>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

namespace caraway::registry {

using caraway::standins::registry_fault;
using caraway::standins::registry_standin;
using caraway::tests::application;

inline std::uint16_t next_port() {
    static std::uint16_t port = static_cast<std::uint16_t>(25'000 + ::getpid() % 1000);
    return ++port;
}

inline std::string entry_text(int number, std::string const& state = "ready", int sequence = 1) {
    return R"({"service":"front","address":"10.0.0.)" + std::to_string(number) +
           R"(:8080","zone":"north","slots":5,"born":1700000000000,"state":")" + state + R"(","seq":)" +
           std::to_string(sequence) + "}";
}

inline std::string configuration_text(int version) {
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[],"services":[{"name":"front"}],"tenants":[]})";
}

class followed_registry {
public:
    followed_registry() : port(next_port()), registry("127.0.0.1", this->port) {
        application();
        this->registry.put("op/config", configuration_text(1));
        for (int number = 1; number <= 3; ++number) {
            this->registry.put("servers/i-" + std::to_string(number), entry_text(number));
        }
        settings options;
        options.link = {"127.0.0.1", 7000};
        options.platform_url = "http://127.0.0.1:" + std::to_string(this->port);
        this->source = std::make_unique<registry_source>(
            options,
            platform_callbacks{.on_configuration =
                                   [this](bundle&& content) {
                                       ++this->configurations;
                                       this->last = std::move(content);
                                   },
                               .on_hosts =
                                   [this](std::string&& text) {
                                       this->list = attempt_or([&] { return parse_host_list(text); },
                                                               [](problem const&) { return host_list{}; });
                                   },
                               .on_failure = [this](std::string const&) { ++this->failures; },
                               .on_service_changed =
                                   [this](bool served) {
                                       ++this->service_changes;
                                       this->is_served = served;
                                   },
                               .on_notice = [this](std::string const& event,
                                                   header_list const&) { this->notices.push_back(event); }});
        this->source->set_active(true);
    }

    /// Goes back to the copy after an outage.
    void restore() {
        this->registry.set_fault(registry_fault::down);
        auto const before = this->failures;
        REQUIRE(wait_for([&] { return this->failures > before + 2; }));
        this->registry.restore();
        this->registry.set_fault(registry_fault::none);
    }

    /// Publishes a configuration and waits until it has been read, and so everything before it.
    void read_on(int version) {
        this->registry.put("op/config", configuration_text(version));
        REQUIRE(
            wait_for([&] { return this->configuration_revision() == static_cast<std::uint64_t>(version); }));
    }

    bool lists(int number) const { return this->find(number) != this->list.hosts.end(); }
    bool lists_as_leaving(int number) const { return this->lists(number) && this->find(number)->leaving; }

    /// Runs the event loop until the condition holds; false after ten seconds.
    static bool wait_for(std::function<bool()> const& condition) {
        QElapsedTimer timer;
        timer.start();
        while (!condition()) {
            if (timer.elapsed() > 10'000) {
                return false;
            }
            QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
        }
        return true;
    }

    /// The revision by which nodes order the last configuration.
    std::uint64_t configuration_revision() const {
        return attempt_or([this] { return parse_manifest(this->last.manifest_text); },
                          [](problem const&) { return manifest{}; })
            .revision;
    }

    std::vector<listed_host>::const_iterator find(int number) const {
        return std::ranges::find(this->list.hosts, "10.0.0." + std::to_string(number), &listed_host::host);
    }

    std::uint16_t port;
    registry_standin registry;
    std::unique_ptr<registry_source> source;
    host_list list;
    bundle last;
    bool is_served{true};
    int service_changes{0};
    int configurations{0};
    int failures{0};
    std::vector<std::string> notices; ///< Names of the events that the source logged.
};

} // namespace caraway::registry
