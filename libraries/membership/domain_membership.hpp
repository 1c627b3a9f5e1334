/// Who may hold rights in a failure domain, without votes.
///
/// Each host keeps a set of hosts that it counts. A host may act on rights only while every host it knows of
/// in its domain counts it, and has confirmed so recently. So of two hosts that both may act, each counts the
/// other, and both derive the same owner of every right by rendezvous. A host that the published list no
/// longer holds is taken to be gone after `lapse_span`: the list may lag, but does not invent departures.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace caraway {

/// The time limits of rights; `lapse_span` must exceed the sum of the others.
struct lease_timing {
    duration acknowledgement_interval{400}; ///< Between two confirmations that a host asks for.
    duration acknowledgement_span{2000};    ///< From an ask until the right it confirmed ends.
    duration lease_span{1000};              ///< From an ask until the loan it brought ends at the borrower.
    duration clock_margin{250};             ///< Added where two clocks are compared by span.
    duration lapse_span{4000};              ///< From leaving the list until a host is no longer counted.

    /// How long a new owner waits, so that what the former one lent has ended.
    duration takeover_delay() const { return this->lease_span + this->clock_margin; }
    /// How long a host waits after its start: what its former incarnation confirmed to others has ended then.
    duration startup_delay() const { return this->acknowledgement_span + this->clock_margin; }
};

/// What to ask another host: to count this one.
struct acknowledgement_request {
    std::string host;
    std::uint64_t sequence{0};
};

class domain_membership {
public:
    domain_membership(std::string own_host, lease_timing own_timing, time_point started);

    /// Takes the hosts of the own failure domain from the newest host list, this one included if listed.
    void update_list(std::set<std::string> const& listed, time_point now);

    /// Another host asks to be counted; true when this incarnation of it was counted before.
    bool acknowledge(std::string const& host, std::uint64_t incarnation, time_point now);

    /// Another host holds no rights any more.
    void record_departure(std::string const& host, time_point now);

    /// The confirmations to ask for now.
    std::vector<acknowledgement_request> make_due_requests(time_point now);

    /// A host has confirmed request `sequence`; `members` is its counted set, empty when the digests agreed.
    void record_acknowledgement(std::string const& host, std::uint64_t sequence, bool was_member,
                                std::vector<std::string> const& reported_members, time_point now);

    /// Whether this host may act on rights at this instant.
    bool may_own_pools(time_point now) const;

    /// Whether its term has lasted long enough that all it owned from the start of it may be lent.
    bool has_passed_takeover_delay(time_point now) const;

    /// Whether this host owns `key`, and may act on it now.
    bool owns(std::string_view key, time_point now) const;

    /// From when on the ownership of `key` may be used; meaningful while `owns` is true.
    time_point usable_from(std::string_view key) const;

    /// The host that owns `key` in this one's view.
    std::string owner(std::string_view key) const;

    std::vector<std::string> members() const;
    std::uint64_t digest() const;

    /// Stops for good; gives the hosts to tell.
    std::vector<std::string> leave();

private:
    struct member {
        std::uint64_t incarnation{0};
        bool listed{false};
        time_point unlisted_since;
        bool acknowledged{false}; ///< Since this host last began to join.
        time_point requested_at;
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
    void restart_join(time_point now);
    /// Takes back all confirmations, so that they are asked for again at once.
    void reset_acknowledgements(time_point now);
    void try_activate(time_point now);
    bool is_only_member() const { return this->other_members.empty(); }
    bool runs_without_pause(time_point now) const {
        return now - this->last_request_round < this->timing.acknowledgement_span;
    }

    std::string host;
    lease_timing timing;
    time_point started;
    std::map<std::string, member> other_members;
    std::vector<removal> removals;
    std::map<std::uint64_t, pending_request> pending;
    std::uint64_t next_sequence{1};
    std::uint64_t epoch_number{0};
    bool self_listed{false};
    bool active{false};
    bool was_member_throughout{
        true}; ///< All confirmations since the join began said that this host was counted before.
    bool has_left{false};
    time_point active_since;
    time_point last_request_round; ///< When `make_due_requests` was last called.
    time_point acknowledged_until;
};

} // namespace caraway
