/// The share of an organisation's rate that each host may use without messages to other hosts.
///
/// Where the operators tolerate an overage, a part of every rate is split evenly over the listed hosts. This
/// part needs no messages, is unaffected by network partitions, and is available as soon as a process has
/// started. The leased fraction goes to hosts with greater demand (rate_lease_manager). Together they stay
/// within the tolerance in any window:
///
///     hosts * (local capacity + local rate * window) + leased fraction * (rate * window + burst)
///         <= (1 + overage) * (rate * window + burst) + slack
#pragma once

#include "base/clock.hpp"

#include <string>
#include <unordered_map>

namespace caraway {

/// How far the whole fleet may exceed rate and burst in any span of length `window`.
struct rate_tolerance {
    duration window{0}; ///< 0 when no overage is tolerated.
    double overage{0};  ///< Fraction of rate * window + burst.
    double slack{0};    ///< Requests.
};

/// The plans use only this fraction of the tolerated overage; the rest covers changes that some hosts apply
/// before others: a host that was just added, and a pool that was taken over while leases of its former owner
/// were valid.
inline constexpr double used_overage_fraction = 0.8;

/// How one organisation's rate and burst are divided.
struct rate_division {
    double local_rate{0};      ///< Requests per second that each host may admit on its own; 0 when none.
    double local_capacity{0};  ///< Burst of each host in requests.
    double leased_fraction{1}; ///< Fraction of rate and burst that is leased.
};

/// Divides a rate (requests/s) and burst (requests) over `hosts` hosts.
rate_division divide_rate(double rate, double burst, std::size_t hosts, rate_tolerance const& tolerance);

/// The token buckets of this host, one for each organisation. They start empty, so that a restart grants no
/// extra burst.
class local_rate_share {
public:
    /// Replaces all divisions; buckets keep their levels, capped at the new capacity.
    void configure(std::unordered_map<std::string, rate_division> const& divisions, time_point now);

    /// Consumes the tokens of one request; false when there are not enough.
    bool try_consume(std::string const& organisation, time_point now);

private:
    struct bucket {
        double rate{0};
        double capacity{0};
        double level{0};
        time_point refilled;
    };

    static void refill(bucket& entry, time_point now);

    std::unordered_map<std::string, bucket> buckets;
};

} // namespace caraway
