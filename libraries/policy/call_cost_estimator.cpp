#include "policy/call_cost_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace caraway {

namespace {

/// Only calls of this span are fitted, so that a changed route is learnt within it.
constexpr duration window_span{3000};
/// Calls within this span are counted together.
constexpr duration bin_span{15};
constexpr duration update_interval{250};
/// Bound on the calls that are kept for one callee; a busy target has a shorter window.
constexpr std::size_t max_events = 512;
constexpr std::size_t min_events = 4;
constexpr int fit_rounds = 12;
/// A route with fewer runs in the window says too little.
constexpr double min_runs = 0.5;
constexpr std::size_t max_routes = 32;
/// A route is charged with calls only if they explain the observed ones better by this log-likelihood: a
/// route that always runs beside another may make none of them.
constexpr double min_evidence = 3;
constexpr std::size_t max_drop_candidates = 4;
/// Calls per millisecond; a lower bound for the logarithm.
constexpr double min_total_rate = 1e-9;
/// Weight of one run in the mean slot time, once many have ended.
constexpr double slot_time_smoothing = 0.05;
constexpr duration count_time_constant{3000};

} // namespace

std::size_t call_cost_estimator::find_index(std::string const& route) const {
    auto const found = this->indexes.find(route);
    return found == this->indexes.end() ? this->routes.size() : found->second;
}

std::size_t call_cost_estimator::index_of(std::string const& route) {
    auto const known = this->find_index(route);
    if (known < this->routes.size()) {
        return known;
    }
    if (this->routes.size() >= max_routes) {
        // Routes beyond the bound share the last entry.
        return this->routes.size() - 1;
    }
    this->indexes.emplace(route, this->routes.size());
    this->names.push_back(route);
    this->routes.emplace_back();
    return this->routes.size() - 1;
}

void call_cost_estimator::advance(run_statistics& entry, time_point now) const {
    auto const passed = std::max(0.0, (now - entry.updated).milliseconds);
    entry.exposure += passed * entry.running;
    entry.ended *= std::exp(-passed / count_time_constant.milliseconds);
    entry.updated = now;
}

void call_cost_estimator::record_start(std::string const& route, time_point now) {
    auto& entry = this->routes.at(this->index_of(route));
    this->advance(entry, now);
    ++entry.running;
    ++entry.started;
}

void call_cost_estimator::record_end(std::string const& route, duration slot_time, time_point now) {
    auto& entry = this->routes.at(this->index_of(route));
    this->advance(entry, now);
    entry.running = std::max(0, entry.running - 1);
    ++entry.ended;
    double const weight = std::max(slot_time_smoothing, 1 / entry.ended);
    entry.slot_time += std::min(1.0, weight) * (slot_time.milliseconds - entry.slot_time);
}

call_cost_estimator::snapshot call_cost_estimator::take_snapshot(time_point now) {
    snapshot taken{.at = now};
    taken.running.reserve(this->routes.size());
    taken.exposure.reserve(this->routes.size());
    taken.started.reserve(this->routes.size());
    for (auto& entry : this->routes) {
        this->advance(entry, now);
        taken.running.push_back(entry.running);
        taken.exposure.push_back(entry.exposure);
        taken.started.push_back(entry.started);
    }
    return taken;
}

void call_cost_estimator::record_call(std::string const& callee, std::string const& parent_route,
                                      time_point now) {
    auto const parent = this->find_index(parent_route);
    bool const is_certain = !parent_route.empty() && parent < this->routes.size();
    int const certain_parent = is_certain ? static_cast<int>(parent) : -1;
    auto& events = this->calls[callee];
    if (!events.empty() && now - events.back().at < bin_span &&
        events.back().certain_parent == certain_parent) {
        ++events.back().calls;
        return;
    }
    auto event = this->take_snapshot(now);
    event.certain_parent = certain_parent;
    events.push_back(std::move(event));
    if (events.size() > max_events) {
        events.pop_front();
    }
}

void call_cost_estimator::update_if_due(time_point now) {
    if (now - this->updated < update_interval) {
        return;
    }
    this->updated = now;
    auto const current = this->take_snapshot(now);
    this->starts_of_window.push_back(current);
    while (this->starts_of_window.size() > 1 && now - this->starts_of_window[1].at >= window_span) {
        this->starts_of_window.pop_front();
    }
    for (auto& [callee, events] : this->calls) {
        while (!events.empty() && now - events.front().at > window_span) {
            events.pop_front();
        }
        auto& result = this->fits[callee];
        if (events.size() == max_events) {
            refit(result, events, current);
            continue;
        }
        // The window begins before its first call.
        events.push_front(this->starts_of_window.front());
        refit(result, events, current);
        events.pop_front();
    }
    std::erase_if(this->calls, [this](auto const& entry) {
        bool const is_over = entry.second.empty();
        if (is_over) {
            this->fits.erase(entry.first);
        }
        return is_over;
    });
}

void call_cost_estimator::discard_window(time_point now) {
    this->updated = now;
    this->starts_of_window.assign(1, this->take_snapshot(now));
    for (auto& [callee, events] : this->calls) {
        events.clear();
    }
}

void call_cost_estimator::refit(fit& result, std::deque<snapshot> const& events, snapshot const& now) {
    auto const count = now.running.size();
    result.rates.resize(count, 0);
    result.calls_per_run.resize(count, 0);
    if (events.size() <= min_events) {
        return;
    }
    // The first event only marks the beginning of the window.
    auto const& begin = events.front();
    auto const at = [](auto const& values, std::size_t index) {
        return index < values.size() ? static_cast<double>(values[index]) : 0.0;
    };
    std::vector<double> exposure(count);
    std::vector<double> runs(count);
    double total_exposure = 0;
    for (std::size_t index = 0; index < count; ++index) {
        exposure[index] = at(now.exposure, index) - at(begin.exposure, index);
        // Runs in progress count by the part of them that lies in the window.
        runs[index] = at(now.started, index) - at(begin.started, index);
        total_exposure += exposure[index];
    }
    if (total_exposure <= 0) {
        return;
    }
    double calls_made = 0;
    for (auto event = std::next(events.begin()); event != events.end(); ++event) {
        calls_made += event->calls;
    }
    double const mean_rate = calls_made / total_exposure;
    rate_fit fitted{.rates = result.rates, .sums = {}, .log_likelihood = 0};
    for (auto& rate : fitted.rates) {
        // A route that was ruled out before may have changed.
        rate = std::max(rate, mean_rate * 0.1);
    }
    maximise(fitted, events, exposure);
    drop_insignificant(fitted, events, exposure);
    for (std::size_t index = 0; index < count; ++index) {
        result.rates[index] = fitted.rates[index];
        if (runs[index] > min_runs) {
            result.calls_per_run[index] = fitted.sums[index] / runs[index];
        }
    }
}

void call_cost_estimator::maximise(rate_fit& fitted, std::deque<snapshot> const& events,
                                   std::vector<double> const& exposure) {
    auto const count = fitted.rates.size();
    std::vector<double> share(count);
    for (int round = 0; round < fit_rounds; ++round) {
        fitted.sums.assign(count, 0);
        fitted.log_likelihood = 0;
        for (auto event = std::next(events.begin()); event != events.end(); ++event) {
            if (event->certain_parent >= 0) {
                fitted.sums.at(static_cast<std::size_t>(event->certain_parent)) += event->calls;
                continue;
            }
            double total = 0;
            for (std::size_t index = 0; index < count; ++index) {
                double const running =
                    index < event->running.size() ? static_cast<double>(event->running[index]) : 0.0;
                share[index] = fitted.rates[index] * running;
                total += share[index];
            }
            for (std::size_t index = 0; total > 0 && index < count; ++index) {
                fitted.sums[index] += event->calls * share[index] / total;
            }
            fitted.log_likelihood += event->calls * std::log(std::max(total, min_total_rate));
        }
        for (std::size_t index = 0; index < count; ++index) {
            fitted.rates[index] = exposure[index] > 0 ? fitted.sums[index] / exposure[index] : 0;
        }
    }
}

void call_cost_estimator::drop_insignificant(rate_fit& fitted, std::deque<snapshot> const& events,
                                             std::vector<double> const& exposure) {
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < fitted.rates.size(); ++index) {
        if (fitted.rates[index] > 0) {
            candidates.push_back(index);
        }
    }
    std::ranges::sort(candidates, {}, [&](std::size_t index) { return fitted.sums[index]; });
    candidates.resize(std::min(candidates.size(), max_drop_candidates));
    for (auto const index : candidates) {
        auto without = fitted;
        without.rates[index] = 0;
        maximise(without, events, exposure);
        if (fitted.log_likelihood - without.log_likelihood < min_evidence) {
            fitted = std::move(without);
        }
    }
}

std::string call_cost_estimator::draw_parent_route(std::string const& callee, double position) const {
    auto const found = this->fits.find(callee);
    std::vector<double> weights(this->routes.size());
    double total = 0;
    for (std::size_t index = 0; index < this->routes.size(); ++index) {
        bool const is_fitted = found != this->fits.end() && index < found->second.rates.size();
        double const rate = is_fitted ? found->second.rates[index] : 0;
        weights[index] = rate * this->routes[index].running;
        total += weights[index];
    }
    if (total <= 0) {
        for (std::size_t index = 0; index < this->routes.size(); ++index) {
            weights[index] = this->routes[index].running;
            total += weights[index];
        }
    }
    double left = position * total;
    for (std::size_t index = 0; index < weights.size(); ++index) {
        if (weights[index] > 0 && left < weights[index]) {
            return this->names[index];
        }
        left -= weights[index];
    }
    return {};
}

bool call_cost_estimator::is_fitted(std::string const& callee) const {
    auto const found = this->fits.find(callee);
    return found != this->fits.end() &&
           std::ranges::any_of(found->second.calls_per_run, [](double count) { return count > 0; });
}

double call_cost_estimator::calls_per_run(std::string const& route, std::string const& callee) const {
    auto const found = this->fits.find(callee);
    auto const index = this->find_index(route);
    if (found == this->fits.end() || index >= found->second.calls_per_run.size()) {
        return 0;
    }
    return found->second.calls_per_run[index];
}

std::map<std::string, double> call_cost_estimator::calls_of(std::string const& route) const {
    std::map<std::string, double> result;
    for (auto const& [callee, fitted] : this->fits) {
        double const calls_made = this->calls_per_run(route, callee);
        if (calls_made > 0) {
            result[callee] = calls_made;
        }
    }
    return result;
}

duration call_cost_estimator::slot_time(std::string const& route) const {
    auto const index = this->find_index(route);
    return {index < this->routes.size() ? this->routes[index].slot_time : 0};
}

duration call_cost_estimator::mean_slot_time() const {
    double sum = 0;
    double weights = 0;
    for (auto const& entry : this->routes) {
        sum += entry.slot_time * entry.ended;
        weights += entry.ended;
    }
    return {weights > 0 ? sum / weights : 0};
}

} // namespace caraway
