/// What several nodes' status pages say of evacuated failure domains, and of targets that accept less than
/// usual.
#pragma once

#include <QJsonObject>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace caraway {

struct domain_in_view {
    std::uint64_t since{0};            ///< Document revision of the operator's request.
    std::size_t node_count{0};         ///< Of the nodes asked, those at which it is in force.
    double in_force_ms{0};             ///< At the node that has held it for longest.
    bool is_kept_after_restore{false}; ///< At some node; the platform may lack the request.
};

struct target_in_view {
    std::string failure_domain;
    std::string service;
    double cold_ms{0};                ///< How much longer it is taken as cold; 0 when it is not.
    std::string cold_reason;          ///< Empty when only other hosts were asked.
    std::optional<double> rate_limit; ///< Requests per second that it states.
    bool is_leaving{false};
};

/// Of each target its own host is believed, and otherwise the host that takes it as cold for longest.
class fleet_view {
public:
    /// Adds what a node states, in the format of its status page.
    void add(QJsonObject const& status);

    std::size_t node_count() const { return this->nodes; }
    std::map<std::string, domain_in_view> const& domains() const { return this->evacuated; }
    /// By host; only targets that are cold, leaving or state a limit.
    std::map<std::string, target_in_view> targets() const;
    /// Whether each evacuation is in force at all nodes asked.
    bool is_uniform() const;
    QJsonObject to_json() const;

private:
    void add_own_target(QJsonObject const& status);
    void add_peer(QJsonObject const& peer);

    struct known_target {
        target_in_view state;
        bool is_own{false}; ///< Stated by the host beside the target.
    };

    std::size_t nodes{0};
    std::map<std::string, domain_in_view> evacuated;
    std::map<std::string, known_target> known;
};

} // namespace caraway
