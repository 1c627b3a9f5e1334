/// A small fleet of real carawayd processes, with stand-ins for their targets and the platform and a fault
/// proxy in front of each link listener.
#pragma once

#include "standins/fault_proxy.hpp"
#include "standins/loopback_prefix.hpp"
#include "standins/platform_standin.hpp"
#include "standins/target_standin.hpp"
#include "standins/test_client.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace caraway::standins {

/// One host of the fleet.
struct fleet_host {
    std::string name;
    std::string failure_domain;
    target_behaviour target;
};

fleet_host make_host(std::string name, std::string domain, std::string service, double work_ms,
                     std::vector<nested_call> calls = {}, int slots = 50);

struct fleet_options {
    std::string configuration; ///< The operators' configuration, as one TOML text.
    std::vector<fleet_host> hosts;
    std::string mode{"full"};
    double link_delay_ms{0}; ///< One-way delay that each link proxy adds.
    std::string extra_settings;
    bool proxies{true};      ///< Load tests use direct links, without proxies.
    std::string log_folder;  ///< For the standard error of the nodes; a new temporary folder when empty.
    std::string span_folder; ///< For one span file per host; no spans are written when empty.
};

/// One node process with its target and link proxy.
struct fleet_node {
    fleet_host host;
    std::string ip;
    pid_t process{0};
    std::string settings_path;
    std::string log_path;
    std::unique_ptr<target_standin> target;
    std::unique_ptr<fault_proxy> proxy;
    bool listed{true};
    bool leaving{false};
    bool has_wrong_secret{false}; ///< Starts with a fleet secret that differs from the others'.
};

inline constexpr std::uint16_t callers_port = 7000;
inline constexpr std::uint16_t egress_port = 7001;
inline constexpr std::uint16_t link_port = 7002;
inline constexpr std::uint16_t operators_port = 7003;
inline constexpr std::uint16_t target_port = 7004;
inline constexpr std::uint16_t proxy_port = 7005;
inline constexpr std::uint16_t platform_port = 7006;

class fleet {
public:
    explicit fleet(fleet_options wanted);
    ~fleet();
    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;

    /// Waits until every listed, running node is ready, has passed the takeover delay of the rate pools and
    /// uses the latest configuration; false after `limit`.
    bool wait_ready(std::chrono::milliseconds limit = std::chrono::seconds(20));

    /// Publishes the configuration under the next revision and returns that. Aborts the test program if the
    /// TOML is invalid.
    std::uint64_t publish(std::string const& toml);
    void publish_hosts();
    /// Publishes a host list with these evacuated failure domains in place of the former ones.
    void evacuate(std::vector<std::string> const& domains);
    /// The bundle that was published under a revision.
    bundle const& published_bundle(std::uint64_t number) const { return this->history.at(number); }
    /// The next publication gets the revision after `last`.
    void skip_revisions(std::uint64_t last) { this->configuration_revision = last; }
    /// Nodes started from now on find their peers in their settings, too.
    void set_seeds(bool wanted) { this->seeds = wanted; }
    std::uint64_t revision() const { return this->configuration_revision; }

    void start(std::size_t index);
    void send_signal(std::size_t index, int signal);
    /// Sends SIGKILL and waits until the process has ended.
    void kill(std::size_t index);
    /// Waits until the process has ended; false after `limit`. Sets `code` to the exit code, or to 128 plus
    /// the number of the signal that ended it.
    bool wait_exit(std::size_t index, std::chrono::milliseconds limit, int& code);

    /// Applies a fault to all links between this failure domain and the others.
    void set_domain_fault(link_fault fault, std::string const& domain);
    void clear_faults();

    client_answer call(std::size_t index, std::string const& method, std::string const& path,
                       header_map const& headers = {}, std::string const& body = "",
                       std::chrono::milliseconds timeout = std::chrono::seconds(10));
    /// A field of a node's status, by its dotted path (with indexes for arrays), as text; "" when the node
    /// does not answer.
    std::string status_field(std::size_t index, std::string const& path);

    /// Executions started at all targets, by ticket number or else request id.
    std::map<std::string, int> runs() const;

    platform_standin& platform() { return *this->platform_service; }
    fault_proxy& platform_proxy(std::string const& domain) { return *this->platform_proxies.at(domain); }
    fleet_node& node(std::size_t index) { return *this->nodes.at(index); }
    std::size_t size() const { return this->nodes.size(); }
    std::string const& domain_of(std::string const& ip) const;

private:
    void write_settings(fleet_node& node);
    std::vector<listed_host> host_list() const;
    std::string secret_of(fleet_node const& node) const;
    std::string seed_list() const;

    fleet_options options;
    std::string folder;
    /// Of this fleet alone, so that sockets left by one run do not conflict with those of another.
    loopback_prefix addresses;
    std::uint64_t configuration_revision{0};
    std::vector<evacuated_domain> evacuated_domains;
    std::map<std::uint64_t, bundle> history;
    bool seeds{false};
    std::unique_ptr<platform_standin> platform_service;
    std::map<std::string, std::unique_ptr<fault_proxy>> platform_proxies;
    std::map<std::string, std::string> domains_by_ip;
    std::vector<std::unique_ptr<fleet_node>> nodes;
};

/// Polls until `condition` holds; false after `limit`.
bool wait_until(std::function<bool()> const& condition, std::chrono::milliseconds limit);

/// The TOML table that defines an organisation's key.
std::string key_entry(std::string const& name, std::string const& organisation, std::string const& key);

inline std::string bearer(std::string const& key) {
    return "Bearer " + key;
}

} // namespace caraway::standins
