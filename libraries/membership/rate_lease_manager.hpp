/// One node's part in enforcing rate and burst of every organisation over the whole fleet.
///
/// Combines the ownership of pools (domain_membership), the pools that this node owns (rate_pool) and the
/// tokens that it has leased (leased_tokens). Uses no socket and no clock of its own.
#pragma once

#include "membership/domain_membership.hpp"
#include "membership/lease_message.hpp"
#include "policy/leased_tokens.hpp"
#include "policy/rate_plan.hpp"
#include "policy/rate_pool.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace caraway {

/// An organisation's rate and burst as far as the own failure domain holds them.
struct rate_limit {
    double rate{0};  ///< Requests per second; 0 when the own domain holds no pool.
    double burst{0}; ///< Requests.
    /// The failure domains that hold pools of the organisation; all domains of the host list if empty.
    std::vector<std::string> pool_domains{};
    /// Of a further pool in each domain, for callers who cannot reach one of the others; empty for none.
    rate_part reserve{};

    bool has_pools_in(std::string const& domain) const;
    /// Whether pools were placed by the size of the rate; they are not split into shards.
    bool is_placed_by_size() const { return !this->pool_domains.empty(); }
};

/// The hosts of the newest list by failure domain.
using domain_hosts = std::map<std::string, std::set<std::string>>;

/// Unless pools are placed by size, each domain's part of an organisation's rate is split into this many
/// pools, each with its own owner, so that the crash of one host affects only some of them. All nodes of a
/// fleet must use the same number.
inline constexpr std::uint8_t shards_per_organisation = 4;
/// The shard number of a failure domain's reserve pool.
inline constexpr std::uint8_t reserve_shard = 255;

/// Why a pool did not grant a whole token.
enum class pool_shortage : std::uint8_t {
    silent,   ///< No answer in time.
    unowned,  ///< The host that was asked does not own the pool.
    new_pool, ///< Taken over, empty, within the last seconds.
    empty,
};

std::string_view name_of(pool_shortage reason);

/// What came of asking a pool that granted no whole token.
struct pool_answer {
    std::string host;
    std::string domain;
    std::uint8_t shard{0};
    pool_shortage reason{pool_shortage::silent};
    duration next_token{0}; ///< From the answer until the pool has refilled a whole token; 0 if unknown.
    time_point answered;
};

class rate_lease_manager {
public:
    rate_lease_manager(std::string own_host, std::string own_domain, std::uint64_t own_incarnation,
                       lease_timing own_timing, time_point started,
                       std::uint8_t pool_shards = shards_per_organisation);

    /// Replaces the limits of all organisations. A lower domain weight shrinks the pools at once.
    void configure(std::unordered_map<std::string, rate_limit> own_limits, time_point now);
    void update_hosts(domain_hosts listed, time_point now);

    /// Consumes a token of the organisation or starts to acquire a lease; `waiting` is the number of its
    /// queued requests.
    bool try_admit(std::string const& organisation, std::size_t waiting, time_point now);

    /// Consumes a token for a queued request.
    bool try_admit_waiting(std::string const& organisation, time_point now);

    /// Whether no pool had tokens to grant, so that new requests should not wait for one.
    bool is_exhausted(std::string const& organisation, time_point now) const;
    /// While exhausted, the time until a pool has refilled one token, as far as the pools have reported it.
    duration time_until_token(std::string const& organisation, time_point now) const;

    /// The pools of the newest round of requests that found no token, in the order in which they were asked.
    std::span<pool_answer const> last_shortage(std::string const& organisation) const;

    void receive(std::string const& from, lease_message const& content, time_point now);

    /// Renews the membership, reports usage and acquires leases. `waiting` is the number of queued requests
    /// by organisation.
    void run_periodic_tasks(time_point now, std::unordered_map<std::string, std::size_t> const& waiting);

    std::vector<outgoing_lease_message> take_outgoing_messages();

    /// Organisations for which leases were granted since the last call.
    std::vector<std::string> take_refilled_organisations();

    /// Gives up all pools for good and notifies the members of the domain.
    void leave(time_point now);

    domain_membership const& members() const { return this->membership; }
    /// Leased tokens that this node may consume for the organisation now.
    token_amount available_tokens(std::string const& organisation, time_point now);
    /// Tokens in one of the organisation's pools; empty unless this node owns it now.
    std::optional<token_amount> grantable_tokens(std::string const& organisation, std::uint8_t shard,
                                                 time_point now);
    std::size_t pool_count() const { return this->pools.size(); }
    /// Tokens of all own pools that are leased and not yet reported as consumed or returned.
    token_amount outstanding() const;

private:
    struct owned_pool {
        std::string organisation;
        std::uint8_t shard{0};
        time_point usable_from; ///< Leases may be granted from then; differs between ownership periods.
        rate_pool pool;
    };
    /// A pool and the host that is asked for its tokens.
    struct pool_address {
        std::string host;
        std::string domain;
        std::uint8_t shard{0};
        bool is_runner_up{false}; ///< The host that owns the pool when its owner has left.
    };
    struct lessee_state {
        leased_tokens leased;
        std::uint64_t sequence{0}; ///< Of the pending request; 0 when there is none.
        pool_address asked_pool;
        time_point requested_at;
        std::vector<pool_address> untried_pools; ///< To be asked in this round, the next one last.
        std::uint64_t round_count{0};
        std::size_t waiting{0};           ///< Queued requests when the round began.
        bool received_grant{false};       ///< In this round.
        bool has_lost_pool{false};        ///< In this round a pool had no reachable owner, or a new one.
        bool asked_reserve{false};        ///< In this round.
        std::vector<pool_answer> answers; ///< Of this round's pools without a whole token.
        std::vector<pool_answer> last_shortage; ///< The answers of the newest round without a token.
        duration shortest_wait{0};  ///< Until a pool that was asked in this round has refilled one token.
        time_point exhausted_until; ///< The pools are not asked before.
        time_point next_token_at;
        time_point next_prefetch;
    };

    /// The rendezvous key of a pool.
    static std::string pool_key(std::string const& organisation, std::uint8_t shard);
    void acquire(std::string const& organisation, lessee_state& state, std::size_t waiting, time_point now);
    void request_from_next_pool(std::string const& organisation, lessee_state& state, token_amount wanted,
                                time_point now);
    void end_round(lessee_state& state, time_point now);
    void continue_round(std::string const& organisation, lessee_state& state, time_point now);
    /// Asks the runner-up of the pool that was asked last, which had no reachable owner.
    void fail_over(std::string const& organisation, lessee_state& state, time_point now);
    static void note_shortage(lessee_state& state, pool_shortage reason, duration next_token, time_point now);
    std::vector<pool_address> list_pools(std::string const& organisation, std::uint64_t round);
    std::vector<pool_address> find_remote_pools(std::string const& organisation) const;
    std::optional<pool_address> runner_up(std::string const& organisation, pool_address const& failed) const;
    bool is_unresponsive(std::string const& host, time_point now) const;
    std::uint8_t shard_count(rate_limit const& limit) const {
        return limit.is_placed_by_size() ? 1 : this->shards;
    }
    /// Rate and burst of one of the organisation's pools in the own domain.
    rate_part pool_limit(rate_limit const& limit, std::uint8_t shard) const;
    /// Whether the leased tokens do not suffice for the queued requests of the current round.
    static bool is_urgent(lessee_state& state, time_point now);
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
    std::uint8_t shards; ///< Pools of each organisation in a failure domain, unless placed by size.
    domain_membership membership;
    domain_hosts hosts;
    std::unordered_map<std::string, rate_limit> limits;
    std::unordered_map<std::string, owned_pool> pools; ///< By pool key.
    std::unordered_map<std::string, time_point>
        unresponsive; ///< Pool owners that did not answer, and when to ask them again.
    std::unordered_map<std::string, std::vector<pool_address>>
        remote_pools; ///< By organisation; cleared with every new host list.
    std::unordered_map<std::string, lessee_state> lessees;
    std::vector<outgoing_lease_message> outgoing_messages;
    std::vector<std::string> refilled_organisations;
    std::uint64_t next_sequence;
    lease_id next_lease;
};

} // namespace caraway
