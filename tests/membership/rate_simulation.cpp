#include "membership/rate_simulation.hpp"

#include <algorithm>

namespace caraway::tests {

namespace {

constexpr std::size_t spike_requests = 40;

} // namespace

rate_simulation::rate_simulation(int domains, int hosts_per_domain, rate_limit limit,
                                 simulation_faults wanted, std::uint64_t seed)
    : fleet_limit(limit), domain_count(domains), faults(wanted), random(seed) {
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
    host.manager = std::make_unique<rate_lease_manager>(host.name, host.domain, host.incarnation,
                                                        lease_timing{}, this->now);
    double const share = 1.0 / this->domain_count;
    host.manager->configure(
        {{tested_organisation, {this->fleet_limit.rate * share, this->fleet_limit.burst * share}}},
        this->now);
    host.running = true;
    host.paused = false;
    host.inbox.clear();
    host.waiting = 0;
    host.list_revision = 0;
    this->receive_list(host);
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
    }
}

void rate_simulation::send(simulated_host& host) {
    for (auto& message : host.manager->take_outgoing_messages()) {
        auto const target = std::ranges::find(this->hosts, message.to, &simulated_host::name);
        bool const is_undeliverable =
            target == this->hosts.end() ||
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
    for (; whole > 0; --whole) {
        if (host.manager->try_admit(tested_organisation, host.waiting, this->now)) {
            this->admissions.push_back(this->now.milliseconds);
        } else if (host.waiting < spike_requests &&
                   !host.manager->is_exhausted(tested_organisation, this->now)) {
            ++host.waiting;
        } else {
            ++this->refusals;
        }
    }
    while (host.waiting > 0 && host.manager->try_admit_waiting(tested_organisation, this->now)) {
        --host.waiting;
        this->admissions.push_back(this->now.milliseconds);
    }
    if (host.waiting > 0 && host.manager->is_exhausted(tested_organisation, this->now)) {
        this->refusals += host.waiting;
        host.waiting = 0;
    }
}

void rate_simulation::step(double requests_per_step, int only_host) {
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
    auto const running = std::ranges::count_if(
        this->hosts, [](simulated_host const& host) { return host.running && !host.paused; });
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
        bool const receives_all = only_host == static_cast<int>(index);
        if (only_host < 0) {
            this->offer(host, requests_per_step / static_cast<double>(running));
        } else if (receives_all) {
            this->offer(host, requests_per_step);
        }
        host.manager->run_periodic_tasks(this->now, {{tested_organisation, host.waiting}});
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

void rate_simulation::run(double span_ms, double requests_per_second, int only_host) {
    auto const end = this->now + duration{span_ms};
    while (this->now < end) {
        this->step(requests_per_second * step_ms / 1000, only_host);
    }
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
        host.manager->run_periodic_tasks(this->now, {{tested_organisation, host.waiting}});
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
            this->send(host);
            this->listed[host.domain].erase(host.name);
            this->publish();
        }
        return;
    case simulation_action::partition:
        this->partitioned_domain = host.domain;
        return;
    case simulation_action::heal:
        this->partitioned_domain.clear();
        return;
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

bool rate_simulation::all_past_takeover_delay() const {
    return std::ranges::all_of(this->hosts, [this](simulated_host const& host) {
        return !host.running || host.manager->members().has_passed_takeover_delay(this->now);
    });
}

} // namespace caraway::tests
