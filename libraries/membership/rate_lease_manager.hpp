/// Rate and burst of every organisation over the whole fleet, as one node sees and serves them.
///
/// It joins the three parts: who owns which pool (domain_membership), the pools this node owns (rate_pool)
/// and what it has borrowed (leased_tokens). It holds no socket and no clock.
#pragma once

#include "membership/domain_membership.hpp"
#include "membership/lease_message.hpp"
#include "policy/leased_tokens.hpp"
#include "policy/rate_pool.hpp"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace caraway {

/// The own failure domain's part of an organisation's terms.
struct rate_limit {
    double rate{0};  ///< Requests per second.
    double burst{0}; ///< Requests.
};

/// Hosts by failure domain, as the newest list has them.
using domain_hosts = std::map<std::string, std::set<std::string>>;

/// Each domain's part of an organisation's terms is split over this many pools with owners of their own, so
/// that the death of one host takes only some of it. All nodes of a fleet must agree on the number.
inline constexpr std::uint8_t shards_per_organisation = 4;

class rate_lease_manager {
public:
    rate_lease_manager(std::string own_host, std::string own_domain, std::uint64_t own_incarnation,
                       lease_timing own_timing, time_point started,
                       std::uint8_t pool_shards = shards_per_organisation);

    /// Replaces all terms. A domain weight that shrinks shrinks pools at once.
    void configure(std::unordered_map<std::string, rate_limit> own_limits, time_point now);
    void update_hosts(domain_hosts listed, time_point now);

    /// Spends one token of the organisation, or starts to borrow; `waiting` requests are parked for it
    /// already.
    bool try_admit(std::string const& organisation, std::size_t waiting, time_point now);

    /// Spends one token for a request that is parked.
    bool try_admit_waiting(std::string const& organisation, time_point now);

    /// Whether every pool was found empty, so that waiting is of no use before `exhausted_span`.
    bool is_exhausted(std::string const& organisation, time_point now) const;
    duration exhausted_span(std::string const& organisation, time_point now) const;

    /// Takes a message of another node.
    void receive(std::string const& from, lease_message const& content, time_point now);

    /// Periodic work: confirmations, reports, borrowing. `waiting` gives the parked requests of an
    /// organisation.
    void run_periodic_tasks(time_point now, std::unordered_map<std::string, std::size_t> const& waiting);

    /// What is to be sent now.
    std::vector<outgoing_lease_message> take_outgoing_messages();

    /// Organisations whose wallet grew since the last call.
    std::vector<std::string> take_refilled_organisations();

    /// Gives up all rights for good and tells those who count this node.
    void leave(time_point now);

    domain_membership const& members() const { return this->membership; }
    /// Tokens that this node may spend for the organisation now.
    token_amount available_tokens(std::string const& organisation, time_point now);
    /// Tokens in one of the organisation's pools, if this node owns it and may lend from it now.
    std::optional<token_amount> grantable_tokens(std::string const& organisation, std::uint8_t shard,
                                                 time_point now);
    std::size_t pool_count() const { return this->pools.size(); }
    /// Tokens lent to others and not settled, over all pools.
    token_amount outstanding() const;

private:
    struct owned_pool {
        std::string organisation;
        time_point usable_from; ///< Tells one term of ownership from another.
        rate_pool pool;
    };
    /// A pool and the host that owns it in this node's view.
    struct pool_address {
        std::string host;
        std::uint8_t shard{0};
        bool is_remote{false};
    };
    struct lessee_state {
        leased_tokens leased;
        std::uint64_t sequence{0}; ///< Of the ask under way; 0 when none is.
        pool_address asked_pool;
        time_point requested_at;
        std::vector<pool_address> untried_pools; ///< Lenders left in this round, next one last.
        std::size_t remote_count{0};             ///< Of these, the first ones, in other failure domains.
        std::uint64_t round_count{0};
        bool received_grant{false}; ///< Something came in this round.
        time_point exhausted_until;
        time_point next_prefetch;
        duration shortest_wait{0};
    };

    void acquire(std::string const& organisation, lessee_state& state, std::size_t waiting, time_point now);
    void request_from_next_pool(std::string const& organisation, lessee_state& state, token_amount wanted,
                                time_point now);
    void end_round(lessee_state& state, time_point now);
    void continue_round(std::string const& organisation, lessee_state& state, time_point now);
    std::vector<pool_address> pools_to_ask(std::string const& organisation, std::uint64_t round,
                                           time_point now);
    std::vector<pool_address> find_remote_pools(std::string const& organisation) const;
    void report_usage(std::string const& organisation, lessee_state& state, token_request_message* request,
                      time_point now);
    void send(std::string const& to, lease_message content, time_point now);

    void handle_token_request(std::string const& from, token_request_message const& request, time_point now);
    void handle_grant(std::string const& from, token_grant_message const& grant, time_point now);
    void handle_membership_request(std::string const& from, membership_request_message const& ask,
                                   time_point now);
    rate_pool* own_pool(std::string const& organisation, std::uint8_t shard, time_point now);

    std::string host;
    std::string domain;
    std::uint64_t incarnation;
    lease_timing timing;
    std::uint8_t shards; ///< Pools of an organisation in each domain.
    domain_membership membership;
    domain_hosts hosts;
    std::unordered_map<std::string, rate_limit> limits;
    std::unordered_map<std::string, owned_pool> pools;        ///< By subject.
    std::unordered_map<std::string, time_point> unresponsive; ///< Lenders that did not answer, until when.
    std::unordered_map<std::string, std::vector<pool_address>>
        remote_pools; ///< Cleared with every host list.
    std::unordered_map<std::string, lessee_state> lessees;
    std::vector<outgoing_lease_message> outgoing_messages;
    std::vector<std::string> refilled_organisations;
    std::uint64_t next_sequence{1};
    lease_id next_lease{1};
    std::size_t waiting_hint{0};
};

} // namespace caraway
