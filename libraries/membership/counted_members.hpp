/// Who may hold rights in a failure domain, without votes.
///
/// Each host keeps a set of hosts that it counts. A host may act on rights only while every host it knows of
/// in its domain counts it, and has confirmed so recently. So of two hosts that both may act, each counts the
/// other, and both derive the same owner of every right by rendezvous. A host that the published list no
/// longer holds is taken to be gone after `lapse_time`: the list may lag, but does not invent departures.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace caraway {

/// The time limits of rights; `lapse_time` must exceed the sum of the others.
struct rights_timing {
    duration ask_interval{400}; ///< Between two confirmations that a host asks for.
    duration right_span{2000};  ///< From an ask until the right it confirmed ends.
    duration loan_span{1000};   ///< From an ask until the loan it brought ends at the borrower.
    duration margin{250};       ///< Added where two clocks are compared by span.
    duration lapse_time{4000};  ///< From leaving the list until a host is no longer counted.

    /// How long a new owner waits, so that what the former one lent has ended.
    duration hold_span() const { return this->loan_span + this->margin; }
    /// How long a host waits after its start: what its former incarnation confirmed to others has ended then.
    duration start_span() const { return this->right_span + this->margin; }
};

/// What to ask another host: to count this one.
struct count_request {
    std::string host;
    std::uint64_t sequence{0};
};

class counted_members {
public:
    counted_members(std::string own_host, rights_timing limits, time_point started);

    /// Takes the hosts of the own failure domain from the newest host list, this one included if listed.
    void update_list(std::set<std::string> const& listed, time_point now);

    /// Another host asks to be counted; true when this incarnation of it was counted before.
    bool count(std::string const& host, std::uint64_t incarnation, time_point now);

    /// Another host holds no rights any more.
    void release(std::string const& host, time_point now);

    /// The confirmations to ask for now.
    std::vector<count_request> due_requests(time_point now);

    /// A host has confirmed request `sequence`; `members` is its counted set, empty when the digests agreed.
    void confirm(std::string const& host, std::uint64_t sequence, bool was_counted,
                 std::vector<std::string> const& members, time_point now);

    /// Whether this host may act on rights at this instant.
    bool holds(time_point now) const;

    /// Whether its term has lasted long enough that all it owned from the start of it may be lent.
    bool is_settled(time_point now) const;

    /// Whether this host owns `subject`, and may act on it now.
    bool owns(std::string_view subject, time_point now) const;

    /// From when on the ownership of `subject` may be used; meaningful while `owns` is true.
    time_point usable_from(std::string_view subject) const;

    /// The host that owns `subject` in this one's view.
    std::string owner(std::string_view subject) const;

    std::vector<std::string> members() const;
    std::uint64_t digest() const;

    /// Stops for good; gives the hosts to tell.
    std::vector<std::string> leave();

private:
    struct member {
        std::uint64_t incarnation{0};
        bool listed{false};
        time_point unlisted_since;
        bool confirmed{false}; ///< Since this host last began to join.
        time_point asked;
    };
    struct removal {
        std::string host;
        time_point at;
    };
    struct pending_request {
        std::string host;
        time_point asked;
    };

    void add(std::string const& host, bool listed, time_point now);
    void remove(std::string const& host, time_point now);
    void drop_lapsed(time_point now);
    void restart_join(time_point now);
    /// Takes back all confirmations, so that they are asked for again at once.
    void confirm_anew(time_point now);
    void try_activate(time_point now);
    bool is_only_member() const { return this->counted.empty(); }
    bool runs_steadily(time_point now) const { return now - this->last_round < this->timing.right_span; }

    std::string host;
    rights_timing timing;
    time_point started;
    std::map<std::string, member> counted;
    std::vector<removal> removals;
    std::map<std::uint64_t, pending_request> pending;
    std::uint64_t next_sequence{1};
    std::uint64_t epoch_number{0};
    bool self_listed{false};
    bool active{false};
    bool kept_throughout{
        true}; ///< All confirmations since the join began said that this host was counted before.
    bool left{false};
    time_point activated;
    time_point last_round; ///< When `due_requests` was last called.
    time_point right_until;
};

} // namespace caraway
