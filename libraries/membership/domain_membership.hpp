/// Decides without votes which hosts may own token pools in a failure domain.
///
/// Each host keeps a set of members of its domain. It may own pools only after every other member known to it
/// has acknowledged it as a member, and while the newest acknowledgement has not expired. So of two hosts
/// that may both own pools, each has the other in its set, and both derive the same owner of every pool by
/// rendezvous hashing. A host that is missing from the published list is removed after `lapse_span`: the list
/// may lag, but a host that is not on it has really left.
///
/// A host that runs on may leave the list as well, because its target has left. It gives up its pools at once
/// and, where an overage is tolerated, says so (`take_departure`), so that the others need not wait for
/// `lapse_span`. Elsewhere a departure takes effect only together with a list without the departed host.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace caraway {

/// Time limits of membership and leases; `lapse_span` must exceed the sum of the others.
struct lease_timing {
    duration acknowledgement_interval{400}; ///< Between two requests for acknowledgement to the same host.
    duration acknowledgement_span{2000};    ///< From the request until its acknowledgement expires.
    duration lease_span{1000};              ///< From the request until the lease expires at the lessee.
    duration clock_margin{250}; ///< Allowance for the drift between two hosts' clocks over one span.
    duration lapse_span{4000};  ///< From leaving the list until a host is no longer a member.
    /// Whether a tolerated overage covers the leases of a pool's former owner. A new owner starts with an
    /// empty pool, so without a wait any window exceeds rate and burst by at most what was leased and not
    /// consumed.
    bool tolerates_takeover{false};

    /// How long a new owner waits, so that the former owner's leases have expired.
    duration takeover_delay() const {
        return this->tolerates_takeover ? duration{0} : this->lease_span + this->clock_margin;
    }
    /// How long a host waits after its start, so that the acknowledgements of its former incarnation have
    /// expired. They only matter when the host starts with an outdated host list.
    duration startup_delay() const {
        return this->tolerates_takeover ? duration{0} : this->acknowledgement_span + this->clock_margin;
    }
};

/// A request to another host to acknowledge this one as a member.
struct acknowledgement_request {
    std::string host;
    std::uint64_t sequence{0};
};

/// What the answering host knew of the asking one before the request.
struct acknowledgement {
    bool was_member{false}; ///< This incarnation of the asking host had been acknowledged.
    /// The asking host has been a member since the answering one started, but has not asked it before. So the
    /// answering host has not removed it, but cannot tell what its own former incarnation did.
    bool is_first{false};
};

/// This host has left the list and no longer owns pools.
struct departure_notice {
    std::vector<std::string> hosts; ///< To be notified.
    std::uint64_t sequence{0};      ///< Of the same order as those of the requests.
};

class domain_membership {
public:
    domain_membership(std::string own_host, lease_timing own_timing, time_point started);

    /// `listed` are the hosts of the own failure domain in the newest host list, including this one if
    /// listed.
    void update_list(std::set<std::string> const& listed, time_point now);

    /// Another host asks with its request `sequence` to be acknowledged as a member.
    acknowledgement acknowledge_host(std::string const& host, std::uint64_t incarnation,
                                     std::uint64_t sequence, time_point now);

    /// Another host no longer owns pools and ends.
    void record_departure(std::string const& host, time_point now);

    /// Another host no longer owns pools, because the list no longer holds it.
    void record_unlisting(std::string const& host, std::uint64_t incarnation, std::uint64_t sequence,
                          time_point now);

    /// Whom to notify that the newest list does not hold this host any more; once for each such change.
    std::optional<departure_notice> take_departure();

    /// The requests to send now. Must be called regularly: a host without other members treats a gap of
    /// `acknowledgement_span` between two calls as a suspended process and gives up its pools.
    std::vector<acknowledgement_request> make_due_requests(time_point now);

    /// A host has acknowledged request `sequence`; `reported_members` is its member set, empty if its digest
    /// equalled the one in the request.
    void on_acknowledged_by(std::string const& host, std::uint64_t sequence, acknowledgement reply,
                            std::vector<std::string> const& reported_members, time_point now);

    bool may_own_pools(time_point now) const;

    /// Whether this host has been allowed to own pools without interruption for at least `takeover_delay`.
    bool has_passed_takeover_delay(time_point now) const;

    /// Whether this host owns the pool `key` now.
    bool owns(std::string_view key, time_point now) const;

    /// The instant from which leases of the pool `key` may be granted; valid only while `owns` is true.
    time_point usable_from(std::string_view key) const;

    /// The host that owns the pool `key` in this host's view.
    std::string owner(std::string_view key) const;

    /// The `count` hosts that own the pool `key` one after the other as each of them leaves, the owner first.
    std::vector<std::string> preferred_owners(std::string_view key, std::size_t count) const;

    std::vector<std::string> members() const;
    std::uint64_t digest() const;

    /// Gives up membership for good; returns the hosts to notify.
    std::vector<std::string> leave();

private:
    struct member {
        std::uint64_t incarnation{0};
        std::uint64_t sequence{0}; ///< Of the newest request that was acknowledged.
        bool listed{false};
        time_point unlisted_since;
        bool acknowledged{false}; ///< Since this host last started to join.
        time_point requested_at;
    };
    /// What a member that has left the list has announced.
    struct departure {
        std::uint64_t incarnation{0};
        std::uint64_t sequence{0};
        time_point at;
    };
    struct removal {
        std::string host;
        time_point at;
    };
    struct pending_request {
        std::string host;
        time_point requested_at;
    };

    void add_member(std::string const& host, bool listed, time_point now);
    void remove_member(std::string const& host, time_point now);
    void remove_lapsed(time_point now);
    /// Gives up all pools after the newest list has not held this host.
    void depart(time_point now);
    void restart_join(time_point now);
    /// Discards all acknowledgements, so that they are requested again at once.
    void reset_acknowledgements(time_point now);
    void try_activate(time_point now);
    bool has_removed(std::string const& host) const;
    bool is_only_member() const { return this->other_members.empty(); }
    /// Whether this host may own pools once the others have acknowledged it. A host that has left owns no
    /// pools; the others choose without it.
    bool is_candidate() const { return !this->has_left && (this->self_listed || this->is_only_member()); }
    bool runs_without_pause(time_point now) const {
        return now - this->last_request_round < this->timing.acknowledgement_span;
    }

    std::string host;
    lease_timing timing;
    time_point started;
    std::map<std::string, member> other_members;
    std::map<std::string, departure> departures;
    std::optional<departure_notice> own_departure;
    std::vector<removal> removals;
    std::map<std::uint64_t, pending_request> pending;
    std::uint64_t next_sequence{1};
    std::uint64_t epoch_number{0};
    bool self_listed{false};
    bool active{false};
    bool was_member_throughout{
        true}; ///< All acknowledgements since the join began said that this host was already a member.
    bool has_left{false};
    time_point active_since;
    time_point last_renewal;       ///< When acknowledgements were last requested.
    time_point last_request_round; ///< When `make_due_requests` was last called.
    time_point acknowledged_until;
};

} // namespace caraway
