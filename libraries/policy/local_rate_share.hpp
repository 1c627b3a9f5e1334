/// The part of an organisation's rate that each host may use without asking anybody.
///
/// Where the operators tolerate an overage, most of every rate is split evenly over the listed hosts: that
/// part needs no messages, survives any cut, and is there as soon as a process runs. The rest is lent where
/// demand is greater (rate_lease_manager). The two parts together keep to the tolerance over any window:
///
///     hosts * capacity + local rate * window + lent part * (rate * window + burst)
///         <= (1 + overage) * (rate * window + burst) + slack
#pragma once

#include "base/clock.hpp"

#include <optional>
#include <string>
#include <unordered_map>

namespace caraway {

/// What the operators tolerate beyond rate and burst, counted over the whole fleet in any span of `window`.
struct rate_tolerance {
    duration window{0}; ///< 0: nothing is tolerated.
    double overage{0};  ///< Part of rate * window + burst.
    double slack{0};    ///< Requests.
};

/// How one organisation's terms are divided.
struct rate_division {
    double local_rate{0};      ///< Requests per second that each host may admit alone; 0 when it may not.
    double local_capacity{0};  ///< Requests that it may admit at once.
    double startup_rate{0};    ///< In place of the local rate while a host starts.
    double leased_fraction{1}; ///< Part of rate and burst that is lent.
};

/// How long a host uses the starting rate after it got its first terms: until restarted pools lend again,
/// which count from the first host list as well. The start of the process may lie long before, in an outage
/// of the platform.
inline constexpr duration startup_span{3000};

/// Divides a rate (requests/s) and burst (requests) over `hosts` hosts.
rate_division divide_rate(double rate, double burst, std::size_t hosts, rate_tolerance const& tolerance);

/// The buckets of this host, one for each organisation. They start empty, so that restarts give nothing away.
class local_rate_share {
public:
    /// Replaces all terms; what is in a bucket stays, up to its new capacity.
    void configure(std::unordered_map<std::string, rate_division> const& divisions, time_point now);

    /// Takes one request's worth; false when the bucket has less.
    bool try_consume(std::string const& organisation, time_point now);

private:
    struct bucket {
        double rate{0};
        double startup_rate{0};
        double capacity{0};
        double level{0};
        time_point refilled;
    };

    void refill(bucket& entry, time_point now) const;

    std::optional<time_point> startup_until; ///< Empty before the first terms.
    std::unordered_map<std::string, bucket> buckets;
};

} // namespace caraway
