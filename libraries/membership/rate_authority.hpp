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
struct rate_terms {
    double rate{0};  ///< Requests per second.
    double burst{0}; ///< Requests.
};

/// Hosts by failure domain, as the newest list has them.
using domain_hosts = std::map<std::string, std::set<std::string>>;

/// Each domain's part of an organisation's terms is split over this many pools with owners of their own, so
/// that the death of one host takes only some of it. All nodes of a fleet must agree on the number.
inline constexpr std::uint8_t shards_per_organisation = 4;

class rate_authority {
public:
    rate_authority(std::string own_host, std::string own_domain, std::uint64_t own_incarnation,
                   lease_timing own_timing, time_point started,
                   std::uint8_t pool_shards = shards_per_organisation);

    /// Replaces all terms. A domain weight that shrinks shrinks pools at once.
    void configure(std::unordered_map<std::string, rate_terms> own_terms, time_point now);
    void update_hosts(domain_hosts listed, time_point now);

    /// Spends one token of the organisation, or starts to borrow; `waiting` requests are parked for it
    /// already.
    bool admit(std::string const& organisation, std::size_t waiting, time_point now);

    /// Spends one token for a request that is parked.
    bool admit_waiting(std::string const& organisation, time_point now);

    /// Whether every pool was found empty, so that waiting is of no use before `dry_span`.
    bool is_dry(std::string const& organisation, time_point now) const;
    duration dry_span(std::string const& organisation, time_point now) const;

    /// Takes a message of another node.
    void receive(std::string const& from, lease_message const& content, time_point now);

    /// Periodic work: confirmations, reports, borrowing. `waiting` gives the parked requests of an
    /// organisation.
    void tick(time_point now, std::unordered_map<std::string, std::size_t> const& waiting);

    /// What is to be sent now.
    std::vector<outgoing_lease_message> take_letters();

    /// Organisations whose wallet grew since the last call.
    std::vector<std::string> take_supplied();

    /// Gives up all rights for good and tells those who count this node.
    void leave(time_point now);

    domain_membership const& members() const { return this->membership; }
    /// Tokens that this node may spend for the organisation now.
    token_amount held(std::string const& organisation, time_point now);
    /// Tokens in one of the organisation's pools, if this node owns it and may lend from it now.
    std::optional<token_amount> lendable(std::string const& organisation, std::uint8_t shard, time_point now);
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
    struct lender_address {
        std::string host;
        std::uint8_t shard{0};
        bool is_remote{false};
    };
    struct borrower {
        leased_tokens leased;
        std::uint64_t sequence{0}; ///< Of the ask under way; 0 when none is.
        lender_address lender;
        time_point requested_at;
        std::vector<lender_address> untried; ///< Lenders left in this round, next one last.
        std::size_t remote_count{0};         ///< Of these, the first ones, in other failure domains.
        std::uint64_t rounds{0};
        bool supplied{false}; ///< Something came in this round.
        time_point dry_until;
        time_point next_stock;
        duration shortest_wait{0};
    };

    void borrow(std::string const& organisation, borrower& state, std::size_t waiting, time_point now);
    void ask_next(std::string const& organisation, borrower& state, token_amount wanted, time_point now);
    void end_round(borrower& state, time_point now);
    void continue_round(std::string const& organisation, borrower& state, time_point now);
    std::vector<lender_address> lenders(std::string const& organisation, std::uint64_t round, time_point now);
    std::vector<lender_address> find_remote_lenders(std::string const& organisation) const;
    void add_reports(std::string const& organisation, borrower& state, token_request_message* want,
                     time_point now);
    void send(std::string const& to, lease_message content, time_point now);

    void serve_want(std::string const& from, token_request_message const& want, time_point now);
    void take_grant(std::string const& from, token_grant_message const& grant, time_point now);
    void serve_count(std::string const& from, membership_request_message const& ask, time_point now);
    rate_pool* own_pool(std::string const& organisation, std::uint8_t shard, time_point now);

    std::string host;
    std::string domain;
    std::uint64_t incarnation;
    lease_timing timing;
    std::uint8_t shards; ///< Pools of an organisation in each domain.
    domain_membership membership;
    domain_hosts hosts;
    std::unordered_map<std::string, rate_terms> terms;
    std::unordered_map<std::string, owned_pool> pools;   ///< By subject.
    std::unordered_map<std::string, time_point> avoided; ///< Lenders that did not answer, until when.
    std::unordered_map<std::string, std::vector<lender_address>>
        remote_lenders; ///< Cleared with every host list.
    std::unordered_map<std::string, borrower> borrowers;
    std::vector<outgoing_lease_message> letters;
    std::vector<std::string> supplied;
    std::uint64_t next_sequence{1};
    lease_id next_loan{1};
    std::size_t waiting_hint{0};
};

} // namespace caraway
