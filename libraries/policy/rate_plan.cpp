#include "policy/rate_plan.hpp"

#include "policy/rendezvous.hpp"

#include <algorithm>

namespace caraway {

namespace {

/// Requests per second below which a pool is not split.
constexpr double min_pool_rate = 2;
/// Requests; a pool with a smaller capacity cannot hold two concurrent requests.
constexpr double min_pool_burst = 2;
/// A reserve pool with a smaller capacity would never admit a request.
constexpr double min_reserve_burst = 1;
/// The part of a domain's reserve that is held for a burst; the rest refills over the window.
constexpr double reserve_burst_fraction = 0.4;

std::size_t count_pools(rate_part const& total, std::size_t domains) {
    auto const by_size = std::min(total.rate / min_pool_rate, total.burst / min_pool_burst);
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(1.0, by_size)), 1, domains);
}

rate_part plan_reserve(double rate, double burst, std::size_t domains, rate_tolerance const& tolerance) {
    double const tolerated =
        tolerance.overage * (rate * tolerance.window.seconds() + burst) + tolerance.slack;
    double const per_domain = used_overage_fraction * tolerated / static_cast<double>(domains);
    if (per_domain <= min_reserve_burst) {
        return {};
    }
    double const reserve_burst = std::max(min_reserve_burst, reserve_burst_fraction * per_domain);
    return {(per_domain - reserve_burst) / tolerance.window.seconds(), reserve_burst};
}

} // namespace

rate_plan plan_rate(std::string const& organisation, double rate, double burst,
                    std::span<std::string const> domains, std::size_t hosts,
                    rate_tolerance const& tolerance) {
    rate_plan plan{.division = divide_rate(rate, burst, hosts, tolerance)};
    if (domains.empty() || tolerance.window.milliseconds <= 0) {
        return plan;
    }
    rate_part const leased{rate * plan.division.leased_fraction, burst * plan.division.leased_fraction};
    auto const count = count_pools(leased, domains.size());
    plan.pool_domains = rendezvous_top(domains, organisation, count);
    plan.pool = {leased.rate / static_cast<double>(count), leased.burst / static_cast<double>(count)};
    if (plan.division.local_rate <= 0) {
        plan.reserve = plan_reserve(rate, burst, domains.size(), tolerance);
    }
    return plan;
}

} // namespace caraway
