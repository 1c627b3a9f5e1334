/// A small fleet of real carawayd processes with stand-ins around them and a fault proxy before each link.
#pragma once

#include "standins/fault_proxy.hpp"
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
    std::string configuration; ///< TOML of the operators' folder.
    std::vector<fleet_host> hosts;
    std::string mode{"full"};
    double link_delay_ms{0}; ///< One way, between failure domains.
    std::string extra_settings;
    bool proxies{true};      ///< Without them links are direct, for load.
    std::string log_folder;  ///< Standard error of the nodes; a new temporary folder when empty.
    std::string span_folder; ///< Spans as files, one for each host; not written when empty.
};

/// One running node with what stands around it.
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
    bool has_wrong_secret{false}; ///< Started with another fleet secret.
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

    /// Waits until every node is ready and holds rights; false after `limit`.
    bool wait_ready(std::chrono::milliseconds limit = std::chrono::seconds(20));

    /// Merges the TOML and publishes it under the next revision. Aborts the test when it is wrong.
    std::uint64_t publish(std::string const& toml);
    void publish_hosts();
    /// What was published under a revision before.
    bundle const& published_bundle(std::uint64_t number) const { return this->history.at(number); }
    /// The next publication gets a revision above this one.
    void skip_revisions(std::uint64_t last) { this->configuration_revision = last; }
    /// Nodes started from now on know the others from their settings.
    void set_seeds(bool wanted) { this->seeds = wanted; }
    std::uint64_t revision() const { return this->configuration_revision; }

    void start(std::size_t index);
    void send_signal(std::size_t index, int signal);
    /// Kills at once and waits for the end.
    void kill(std::size_t index);
    /// Waits for the end of the process; false after `limit`. Gives the exit code.
    bool wait_exit(std::size_t index, std::chrono::milliseconds limit, int& code);

    /// Cuts or silences what flows between two failure domains.
    void set_domain_fault(link_fault fault, std::string const& domain);
    void clear_faults();

    client_answer call(std::size_t index, std::string const& method, std::string const& path,
                       header_map const& headers = {}, std::string const& body = "",
                       std::chrono::milliseconds timeout = std::chrono::seconds(10));
    /// A field of a node's status, as text; "" when the node does not answer.
    std::string status_field(std::size_t index, std::string const& path);

    /// Runs begun at all targets of a service, or of all.
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
    std::string prefix; ///< "127.X".
    std::uint64_t configuration_revision{0};
    std::map<std::uint64_t, bundle> history;
    bool seeds{false};
    std::unique_ptr<platform_standin> platform_service;
    std::map<std::string, std::unique_ptr<fault_proxy>> platform_proxies;
    std::map<std::string, std::string> domains_by_ip;
    std::vector<std::unique_ptr<fleet_node>> nodes;
};

/// Polls until `condition` holds; false after `limit`.
bool wait_until(std::function<bool()> const& condition, std::chrono::milliseconds limit);

/// The TOML line of a key for an organisation.
std::string key_entry(std::string const& name, std::string const& organisation, std::string const& key);

inline std::string bearer(std::string const& key) {
    return "Bearer " + key;
}

} // namespace caraway::standins
