#include "membership/rate_simulation.hpp"

#include <algorithm>

namespace caraway::tests {

namespace {

constexpr std::size_t spike_requests = 40;
/// As in node/request_router.cpp.
constexpr double max_token_waiting_ms = 300;

} // namespace

rate_simulation::rate_simulation(int domains, int hosts_per_domain, rate_limit limit,
                                 simulation_faults wanted, std::uint64_t seed, rate_tolerance tolerated)
    : fleet_limit(std::move(limit)), tolerance(tolerated), domain_count(domains), faults(wanted),
      random(seed) {
    for (int domain = 0; domain < domains; ++domain) {
        for (int index = 0; index < hosts_per_domain; ++index) {
            simulated_host host;
            host.domain = "d" + std::to_string(domain);
            host.name = host.domain + "-h" + std::to_string(index);
            this->listed[host.domain].insert(host.name);
            this->hosts.push_back(std::move(host));
        }
    }
    this->publish();
    for (auto& host : this->hosts) {
        this->start(host);
    }
}

void rate_simulation::publish() {
    this->lists.push_back({this->now.milliseconds, this->listed});
}

void rate_simulation::start(simulated_host& host) {
    host.incarnation = this->next_incarnation++;
    host.manager = std::make_unique<rate_lease_manager>(
        host.name, host.domain, host.incarnation,
        lease_timing{.tolerates_takeover = this->tolerance.window.milliseconds > 0}, this->now);
    host.local = {};
    host.running = true;
    host.paused = false;
    host.has_left = false;
    host.inbox.clear();
    host.waiting.clear();
    host.list_revision = 0;
    this->receive_list(host);
}

void rate_simulation::configure(simulated_host& host) {
    std::vector<std::string> domains;
    std::size_t host_count = 0;
    for (auto const& [name, listed_hosts] : this->lists[host.list_revision - 1].hosts) {
        domains.push_back(name);
        host_count += listed_hosts.size();
    }
    auto const plan = plan_rate(tested_organisation, this->fleet_limit.rate, this->fleet_limit.burst, domains,
                                host_count, this->tolerance);
    rate_limit limit{.pool_domains = plan.pool_domains, .reserve = plan.reserve};
    if (plan.pool_domains.empty()) {
        double const share = 1.0 / this->domain_count;
        limit = {.rate = this->fleet_limit.rate * share, .burst = this->fleet_limit.burst * share};
    } else if (limit.has_pools_in(host.domain)) {
        limit.rate = plan.pool.rate;
        limit.burst = plan.pool.burst;
    }
    // A host that is not listed is not counted by the others, so it has no even share.
    auto const& members = this->lists[host.list_revision - 1].hosts.at(host.domain);
    std::unordered_map<std::string, rate_division> divisions;
    if (members.contains(host.name)) {
        divisions[tested_organisation] = plan.division;
    }
    host.local.configure(divisions, this->now);
    host.manager->configure({{tested_organisation, std::move(limit)}}, this->now);
}

void rate_simulation::receive_list(simulated_host& host) {
    // A process receives revisions in order, each with a random delay after its publication.
    auto newest = host.list_revision;
    while (newest < this->lists.size()) {
        double const lag = this->uniform() * this->faults.max_list_lag_ms;
        if (this->lists[newest].published + lag > this->now.milliseconds && newest > 0) {
            break;
        }
        ++newest;
    }
    if (newest > host.list_revision) {
        host.list_revision = newest;
        host.manager->update_hosts(this->lists[newest - 1].hosts, this->now);
        this->configure(host);
    }
}

void rate_simulation::send(simulated_host& host) {
    for (auto& message : host.manager->take_outgoing_messages()) {
        ++this->message_count;
        auto const target = std::ranges::find(this->hosts, message.to, &simulated_host::name);
        bool const is_undeliverable =
            target == this->hosts.end() || host.isolated || target->isolated ||
            (!this->partitioned_domain.empty() &&
             (target->domain == this->partitioned_domain) != (host.domain == this->partitioned_domain));
        if (is_undeliverable || this->uniform() < this->faults.loss_probability) {
            continue;
        }
        int const copies = this->uniform() < this->faults.duplicate_probability ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            bool const is_delayed = this->uniform() < this->faults.delay_probability;
            double const delay = is_delayed ? this->uniform() * 3000 : 0.5 + this->uniform() * 8;
            this->in_transit.push({this->now.milliseconds + delay, host.name, message});
        }
    }
}

void rate_simulation::offer(simulated_host& host, double count) {
    auto whole = static_cast<int>(count) + (this->uniform() < count - static_cast<int>(count) ? 1 : 0);
    auto const org = std::string(tested_organisation);
    for (; whole > 0; --whole) {
        this->arrivals.push_back(this->now.milliseconds);
        bool const admitted = host.local.try_consume(org, this->now) ||
                              host.manager->try_admit(org, host.waiting.size(), this->now);
        if (admitted) {
            this->admissions.push_back(this->now.milliseconds);
        } else if (host.waiting.size() < spike_requests && !host.manager->is_exhausted(org, this->now)) {
            host.waiting.push_back(this->now.milliseconds);
        } else {
            ++this->refusals;
        }
    }
    while (!host.waiting.empty() && host.manager->try_admit_waiting(org, this->now)) {
        host.waiting.pop_front();
        this->admissions.push_back(this->now.milliseconds);
    }
    auto const next_token_at = host.manager->is_exhausted(org, this->now)
                                   ? this->now + host.manager->time_until_token(org, this->now)
                                   : this->now;
    while (!host.waiting.empty() &&
           next_token_at.milliseconds >= host.waiting.front() + max_token_waiting_ms) {
        host.waiting.pop_front();
        ++this->refusals;
    }
}

bool rate_simulation::accepts_load(simulated_host const& host, std::size_t index) const {
    return host.running && !host.paused &&
           (this->only_host < 0 || this->only_host == static_cast<int>(index)) &&
           (this->only_domain.empty() || this->only_domain == host.domain);
}

void rate_simulation::step(double requests_per_step) {
    this->now = this->now + duration{step_ms};
    while (!this->in_transit.empty() && this->in_transit.top().at <= this->now.milliseconds) {
        auto const arrived = this->in_transit.top();
        this->in_transit.pop();
        auto const target = std::ranges::find(this->hosts, arrived.message.to, &simulated_host::name);
        if (target == this->hosts.end() || !target->running) {
            continue;
        }
        target->inbox.emplace_back(arrived.from, arrived.message.content);
    }
    std::size_t receivers = 0;
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        receivers += this->accepts_load(this->hosts[index], index) ? 1 : 0;
    }
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        auto& host = this->hosts[index];
        if (!host.running || host.paused) {
            continue;
        }
        for (auto const& [from, content] : host.inbox) {
            host.manager->receive(from, content, this->now);
        }
        host.inbox.clear();
        this->receive_list(host);
        this->offer(host,
                    this->accepts_load(host, index) ? requests_per_step / static_cast<double>(receivers) : 0);
        host.manager->run_periodic_tasks(this->now, {{tested_organisation, host.waiting.size()}});
        this->send(host);
    }
    this->check_invariants();
}

void rate_simulation::check_invariants() {
    token_amount tokens = 0;
    std::map<std::pair<std::string, std::uint8_t>, int> owners_of;
    for (auto& host : this->hosts) {
        if (!host.running) {
            continue;
        }
        // A paused host may resume at any instant, so the tokens that it could then use count as well.
        tokens += host.manager->available_tokens(tested_organisation, this->now);
        for (std::uint8_t shard = 0; shard < shards_per_organisation; ++shard) {
            if (auto const level = host.manager->grantable_tokens(tested_organisation, shard, this->now)) {
                tokens += *level;
                this->greatest_owner_count =
                    std::max(this->greatest_owner_count, ++owners_of[{host.domain, shard}]);
            }
        }
    }
    this->token_excess = std::max(this->token_excess, to_requests(tokens) - this->fleet_limit.burst);
}

void rate_simulation::run(double span_ms, double requests_per_second, int loaded_host) {
    this->only_host = loaded_host;
    auto const end = this->now + duration{span_ms};
    while (this->now < end) {
        this->step(requests_per_second * step_ms / 1000);
    }
    this->only_host = -1;
}

void rate_simulation::run_in_domain(double span_ms, double requests_per_second, std::string const& domain) {
    this->only_domain = domain;
    this->run(span_ms, requests_per_second);
    this->only_domain.clear();
}

void rate_simulation::apply(simulation_action action, std::uint64_t choice) {
    auto& host = this->hosts[choice % this->hosts.size()];
    switch (action) {
    case simulation_action::restart:
        if (this->listed[host.domain].contains(host.name)) {
            this->start(host);
        }
        return;
    case simulation_action::pause:
        host.paused = host.running;
        return;
    case simulation_action::resume:
        for (auto& paused_host : this->hosts) {
            paused_host.paused = false;
        }
        return;
    case simulation_action::unlist_paused:
        for (auto const& paused_host : this->hosts) {
            if (paused_host.paused) {
                this->listed[paused_host.domain].erase(paused_host.name);
            }
        }
        return this->publish();
    case simulation_action::spike_and_pause:
        if (!host.running || host.paused) {
            return;
        }
        this->offer(host, spike_requests);
        host.manager->run_periodic_tasks(this->now, {{tested_organisation, host.waiting.size()}});
        this->send(host);
        this->run(4 * step_ms, 0);
        host.paused = true;
        return;
    case simulation_action::join: {
        simulated_host joined;
        joined.domain = "d" + std::to_string(choice % static_cast<std::uint64_t>(this->domain_count));
        joined.name = joined.domain + "-j" + std::to_string(this->hosts.size());
        this->listed[joined.domain].insert(joined.name);
        this->publish();
        this->hosts.push_back(std::move(joined));
        return this->start(this->hosts.back());
    }
    case simulation_action::kill_and_unlist:
        if (this->listed[host.domain].size() > 1) {
            host.running = false;
            this->listed[host.domain].erase(host.name);
            this->publish();
        }
        return;
    case simulation_action::leave:
        if (this->listed[host.domain].size() > 1 && host.running && !host.paused) {
            host.manager->leave(this->now);
            host.has_left = true;
            this->send(host);
            this->listed[host.domain].erase(host.name);
            this->publish();
        }
        return;
    case simulation_action::restart_all:
        for (auto& each : this->hosts) {
            if (this->listed[each.domain].contains(each.name)) {
                this->start(each);
            }
        }
        return;
    case simulation_action::partition:
        this->partitioned_domain = host.domain;
        return;
    case simulation_action::heal:
        this->partitioned_domain.clear();
        for (auto& each : this->hosts) {
            each.isolated = false;
        }
        return;
    case simulation_action::isolate:
        host.isolated = true;
        return;
    case simulation_action::unlist_running:
        if (this->listed[host.domain].size() > 1 && host.running) {
            this->listed[host.domain].erase(host.name);
            this->publish();
        }
        return;
    case simulation_action::relist:
        for (auto const& each : this->hosts) {
            if (each.running && !each.has_left) {
                this->listed[each.domain].insert(each.name);
            }
        }
        return this->publish();
    }
}

double rate_simulation::admission_excess() const {
    // If a token bucket can admit every recorded request without a negative level, no window exceeds the
    // limit.
    double level = this->fleet_limit.burst;
    double previous = this->admissions.empty() ? 0 : this->admissions.front();
    double greatest = -this->fleet_limit.burst;
    for (double const at : this->admissions) {
        level = std::min(this->fleet_limit.burst, level + this->fleet_limit.rate * (at - previous) / 1000);
        level -= 1;
        previous = at;
        greatest = std::max(greatest, -level);
    }
    return greatest;
}

std::size_t rate_simulation::ideal_refusals() const {
    double level = this->fleet_limit.burst;
    double previous = 0;
    std::size_t refused = 0;
    for (double const at : this->arrivals) {
        level = std::min(this->fleet_limit.burst, level + this->fleet_limit.rate * (at - previous) / 1000);
        previous = at;
        if (level < 1) {
            ++refused;
        } else {
            level -= 1;
        }
    }
    return refused;
}

double rate_simulation::window_excess() const {
    double const allowed =
        (1 + this->tolerance.overage) *
            (this->fleet_limit.rate * this->tolerance.window.seconds() + this->fleet_limit.burst) +
        this->tolerance.slack;
    double greatest = -allowed;
    std::size_t first = 0;
    for (std::size_t last = 0; last < this->admissions.size(); ++last) {
        while (this->admissions[last] - this->admissions[first] > this->tolerance.window.milliseconds) {
            ++first;
        }
        greatest = std::max(greatest, static_cast<double>(last - first + 1) - allowed);
    }
    return greatest;
}

bool rate_simulation::all_past_takeover_delay() const {
    return std::ranges::all_of(this->hosts, [this](simulated_host const& host) {
        return !host.running || host.manager->members().has_passed_takeover_delay(this->now);
    });
}

} // namespace caraway::tests
