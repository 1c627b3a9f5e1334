/// Hosts with targets of different speed, and nodes that send them requests, in simulated time.
#pragma once

#include "policy/target_chooser.hpp"
#include "policy/target_load_estimate.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace caraway::simulation {

enum class chosen_by { load, wait };

struct placed_host {
    std::string name;
    int domain{0};
    int slots{20};
    double speed{1};
    double slowdown{1};      ///< The present factor on the time of work.
    double failing_share{0}; ///< Of its answers.
    bool silent{false};      ///< Gives no answers.
    double link_extra_ms{0}; ///< Each way, beside the usual delay.
    target_load_estimate estimate{};
    std::size_t running{0};
    std::deque<std::function<void()>> queue{};
    double work_ms{0}; ///< Of all requests received, at the usual speed.
    int received{0};
};

struct placement_plan {
    std::vector<placed_host> hosts;
    std::vector<double> requests_per_s; ///< Of each domain.
    int senders_per_domain{4};
    int domains_per_region{2};
    double work_ms{80};
    double ping_ms{1000};
    bool reports_in_answers{true};
    std::function<void(double now, std::vector<placed_host>&)> each_50_ms;
    double length_ms{20'000};
    chosen_by rule{chosen_by::wait};
};

struct placement_result {
    std::vector<placed_host> hosts;
    std::vector<double> times; ///< Of all answers, sorted.
    int failed{0};
    int between_domains{0};
    int between_regions{0};
    int sent{0};

    double percentile(double part) const {
        return this->times.at(static_cast<std::size_t>(part * static_cast<double>(this->times.size() - 1)));
    }
    /// Work over slots by speed of the most loaded host among those that `selects` accepts, over their mean.
    double imbalance() const {
        double most = 0;
        double sum = 0;
        for (auto const& host : this->hosts) {
            double const load = host.work_ms / (host.slots * host.speed);
            most = std::max(most, load);
            sum += load;
        }
        return most * static_cast<double>(this->hosts.size()) / sum;
    }
};

/// Plays the plan and returns what became of the requests. Requests that find no slot wait without bound.
inline placement_result play(placement_plan const& plan) {
    struct report {
        std::uint32_t in_flight{0};
        double wait_ms{0};
        double request_ms{0};
        double percent{100};
        double failures{0};
        double received_at{0};
    };
    struct sender {
        int domain{0};
        target_chooser chooser;
        std::vector<report> reports;
    };
    placement_result result{.hosts = plan.hosts};
    auto& hosts = result.hosts;
    std::vector<sender> senders;
    for (std::size_t domain = 0; domain < plan.requests_per_s.size(); ++domain) {
        for (int index = 0; index < plan.senders_per_domain; ++index) {
            senders.push_back({static_cast<int>(domain), {}, std::vector<report>(hosts.size())});
        }
    }
    std::mt19937_64 random(7);
    std::multimap<double, std::function<void()>> events;
    double now = 1;
    auto const region_of = [&](int domain) { return domain / plan.domains_per_region; };
    auto const at = [&](double delay_ms, std::function<void()> run) {
        events.emplace(now + delay_ms, std::move(run));
    };
    auto const delay = [&](sender const& from, placed_host const& to) {
        double const usual =
            from.domain == to.domain ? 0.1 : (region_of(from.domain) == region_of(to.domain) ? 1.4 : 8);
        return usual + to.link_extra_ms;
    };
    auto const load_of = [](placed_host const& host) {
        return own_load{.running = host.running, .queued = host.queue.size(), .limit = host.slots};
    };
    auto const report_of = [&](placed_host const& host) {
        auto const& estimate = host.estimate;
        return report{.in_flight = static_cast<std::uint32_t>(host.running + host.queue.size()),
                      .wait_ms = estimate.expected_wait(load_of(host), {now}).milliseconds,
                      .request_ms = estimate.request_time({now}).milliseconds,
                      .percent = estimate.work_time_percent({now}),
                      .failures = estimate.failure_fraction({now})};
    };
    auto const deliver = [&](sender& to, std::size_t index, report content) {
        content.received_at = now;
        to.reports[index] = content;
    };
    std::function<void(sender&)> send = [&](sender& from) {
        std::vector<candidate_host> candidates;
        for (std::size_t index = 0; index < hosts.size(); ++index) {
            auto const& known = from.reports[index];
            candidates.push_back({.host = hosts[index].name,
                                  .same_domain = hosts[index].domain == from.domain,
                                  .reported_in_flight = known.in_flight,
                                  .limit = static_cast<std::uint32_t>(hosts[index].slots),
                                  .report_age = {now - known.received_at},
                                  .same_region = region_of(hosts[index].domain) == region_of(from.domain),
                                  .reported_wait = {known.wait_ms},
                                  .request_time = {known.request_ms},
                                  .work_time_percent = known.percent,
                                  .failure_fraction = known.failures});
        }
        std::optional<std::string> chosen;
        if (plan.rule == chosen_by::load) {
            chosen = from.chooser.choose(candidates, true, random(), {now});
        } else if (auto const placed = from.chooser.place(candidates, true, random(), {now})) {
            chosen = placed->host;
        }
        if (!chosen) {
            ++result.failed;
            return;
        }
        auto const index =
            static_cast<std::size_t>(std::ranges::find(hosts, *chosen, &placed_host::name) - hosts.begin());
        auto& host = hosts[index];
        from.chooser.record_sent(host.name, {now});
        ++result.sent;
        result.between_domains += host.domain != from.domain ? 1 : 0;
        result.between_regions += region_of(host.domain) != region_of(from.domain) ? 1 : 0;
        double const work_ms = std::exponential_distribution<>(1 / plan.work_ms)(random);
        double const sent_at = now;
        double const way = delay(from, host);
        auto* target = &host;
        auto* source = &from;
        std::function<void()> const run = [=, &at, &random, &result, &deliver, &report_of, &now] {
            target->estimate.record_sent(target->running, {now});
            ++target->running;
            if (target->silent) {
                return;
            }
            bool const fails = std::uniform_real_distribution<>(0, 1)(random) < target->failing_share;
            double const started = now;
            at(work_ms * target->slowdown / target->speed, [=, &at, &result, &deliver, &report_of, &now] {
                --target->running;
                double const took = now - started;
                target->estimate.record_stated({.present = static_cast<int>(target->running),
                                                .slots = target->slots,
                                                .work_time_percent = target->slowdown * 100},
                                               target->running, {now});
                target->estimate.record_answer({took}, {took}, fails, {now});
                double const arrived = sent_at + way;
                double const held = now - arrived;
                auto const content = report_of(*target);
                if (!target->queue.empty()) {
                    auto const next = target->queue.front();
                    target->queue.pop_front();
                    next();
                }
                at(way, [=, &result, &deliver, &now] {
                    source->chooser.record_answer(target->name, {now - sent_at}, false, false, {now});
                    source->chooser.record_link_delay(target->name, {now - sent_at - held}, {now});
                    result.failed += fails ? 1 : 0;
                    result.times.push_back(now - sent_at);
                    deliver(*source, index, content);
                });
            });
        };
        at(way, [=] {
            target->work_ms += work_ms;
            ++target->received;
            if (target->running >= static_cast<std::size_t>(target->slots)) {
                target->queue.push_back(run);
                return;
            }
            run();
        });
    };
    std::function<void(sender&)> arrive = [&](sender& from) {
        double const rate =
            plan.requests_per_s[static_cast<std::size_t>(from.domain)] / 1000 / plan.senders_per_domain;
        at(std::exponential_distribution<>(rate)(random), [&] {
            send(from);
            arrive(from);
        });
    };
    std::function<void()> ping = [&] {
        for (auto& to : senders) {
            for (std::size_t index = 0; index < hosts.size(); ++index) {
                deliver(to, index, report_of(hosts[index]));
            }
        }
        at(plan.ping_ms, ping);
    };
    std::function<void()> change = [&] {
        if (plan.each_50_ms) {
            plan.each_50_ms(now, hosts);
        }
        at(50, change);
    };
    ping();
    change();
    for (auto& from : senders) {
        if (plan.requests_per_s[static_cast<std::size_t>(from.domain)] > 0) {
            arrive(from);
        }
    }
    while (now < plan.length_ms && !events.empty()) {
        auto const next = events.begin();
        now = next->first;
        auto const run = std::move(next->second);
        events.erase(next);
        run();
    }
    std::ranges::sort(result.times);
    return result;
}

} // namespace caraway::simulation
