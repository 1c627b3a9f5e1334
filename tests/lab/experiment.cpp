#include "lab/experiment.hpp"

#include "standins/fleet.hpp"
#include "standins/load_generator.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>

namespace caraway::lab {

namespace {

using namespace standins;

constexpr std::size_t organisation_count = 8;
constexpr std::array<double, organisation_count> organisation_shares{0.30, 0.25, 0.10, 0.10,
                                                                     0.08, 0.07, 0.05, 0.05};
constexpr double tick_ms = 100;
constexpr double recovered_fraction = 0.95;
constexpr int recovered_tick_count = 10;
constexpr std::size_t kind_count = 3;
constexpr std::size_t class_count = 2; ///< Important and normal.
constexpr std::array<double, kind_count> kind_shares{0.3, 0.4, 0.3};
constexpr std::array<std::size_t, kind_count> kind_classes{0, 1, 1};

/// The services of a deployment, from the first one to the bottleneck.
struct deployment {
    std::array<std::string, kind_count> chain;
    std::array<int, kind_count> slots{};
    double work_ms{40};
    int domains{2};
};

deployment find_deployment(std::string const& name) {
    if (name == "nguzo") {
        return {{"dispatch", "inventory", "quoting"}, {400, 300, 20}, 50, 2};
    }
    return {{"orders", "workshops", "tracking"}, {60, 60, 15}, 40, 2};
}

/// The scenario, deployment and capacity of one run.
struct plan {
    scenario wanted;
    deployment deployed;
    double capacity{0}; ///< Of the bottleneck, in requests per second.

    double offered_rate(std::size_t organisation, std::size_t kind) const {
        return this->wanted.load * this->capacity * organisation_shares.at(organisation) *
               kind_shares.at(kind);
    }
    double offered_rate(std::size_t organisation) const {
        return this->wanted.load * this->capacity * organisation_shares.at(organisation);
    }
};

std::string organisation_name(std::size_t index) {
    return "org-" + std::to_string(index);
}

std::string make_configuration(plan const& run) {
    std::ostringstream text;
    for (std::size_t index = 0; index < organisation_count; ++index) {
        double const rate = run.offered_rate(index) * run.wanted.rate_factor;
        text << "[organisations." << organisation_name(index) << "]\nrate = " << rate
             << "\nburst = " << std::max(20.0, rate / 2) << "\n"
             << key_entry(organisation_name(index), organisation_name(index), "key-" + std::to_string(index));
    }
    for (std::size_t depth = 0; depth < kind_count; ++depth) {
        auto const& service = run.deployed.chain.at(depth);
        text << "[services." << service << "]\nslots = " << run.deployed.slots.at(depth)
             << "\nconnections = 1000\n[routes." << service << "]\nmethod = \"GET\"\npath = \"/" << service
             << "\"\nservice = \"" << service << "\"\nidempotent = true\nclass = \""
             << (kind_classes.at(depth) == 0 ? "critical" : "normal") << "\"\ndeadline_ms = 1000\n";
    }
    for (int domain = 0; domain < run.deployed.domains; ++domain) {
        text << "[failure_domains.d" << domain << "]\nweight = " << 1.0 / run.deployed.domains << "\n";
    }
    return text.str();
}

std::vector<fleet_host> make_hosts(plan const& run) {
    std::vector<fleet_host> hosts;
    for (int domain = 0; domain < run.deployed.domains; ++domain) {
        for (std::size_t depth = 0; depth < kind_count; ++depth) {
            auto const& service = run.deployed.chain.at(depth);
            fleet_host host{service + "-d" + std::to_string(domain), "d" + std::to_string(domain), {}};
            host.target.service = service;
            host.target.slots = run.deployed.slots.at(depth);
            bool const is_bottleneck = depth + 1 == kind_count;
            host.target.work_ms = is_bottleneck ? run.deployed.work_ms : run.deployed.work_ms / 8;
            if (!is_bottleneck) {
                host.target.calls = {{"GET", "/" + run.deployed.chain.at(depth + 1)}};
            }
            hosts.push_back(std::move(host));
        }
    }
    return hosts;
}

std::vector<load_stream> make_streams(plan const& run, fleet& system) {
    std::vector<load_stream> streams;
    for (std::size_t organisation = 0; organisation < organisation_count; ++organisation) {
        for (std::size_t kind = 0; kind < kind_count; ++kind) {
            load_stream stream{.name = run.deployed.chain.at(kind),
                               .organisation = organisation_name(organisation),
                               .key = "key-" + std::to_string(organisation),
                               .path = "/" + run.deployed.chain.at(kind),
                               .per_second = run.offered_rate(organisation, kind),
                               .resends = run.wanted.resends};
            for (std::size_t index = 0; index < system.size(); ++index) {
                auto const& node = system.node(index);
                bool const is_other_domain =
                    run.wanted.one_entry && organisation == 0 && node.host.failure_domain != "d0";
                bool const is_killed = run.wanted.kill && index == kind_count - 1;
                if (!is_other_domain && !is_killed) {
                    stream.entries.push_back({node.ip, callers_port});
                }
            }
            streams.push_back(std::move(stream));
        }
    }
    return streams;
}

void schedule(plan const& run, fleet& system, load_generator& generator, std::size_t stream_count) {
    auto const& wanted = run.wanted;
    auto const set_factors = [&generator, stream_count, &wanted](bool overloaded) {
        for (std::size_t stream = 0; stream < stream_count; ++stream) {
            double const greedy = stream < kind_count ? wanted.greedy_factor : 1;
            generator.set_factor(stream, overloaded ? wanted.surge * greedy : 1);
        }
    };
    auto const set_slowness = [&system](double factor) {
        for (std::size_t index = kind_count - 1; index < system.size(); index += kind_count) {
            system.node(index).target->set_slowness(factor);
        }
    };
    generator.run_at(wanted.overload_from * 1000,
                     [=, &system, kill = wanted.kill, slow = wanted.slow_factor] {
                         set_factors(true);
                         set_slowness(slow);
                         if (kill) {
                             system.send_signal(kind_count - 1, SIGKILL);
                         }
                     });
    generator.run_at(wanted.overload_to * 1000, [=] {
        set_factors(false);
        set_slowness(1);
    });
}

/// Offered and whole requests of each organisation and class during the overload.
struct tally {
    std::array<std::array<double, class_count>, organisation_count> offered{};
    std::array<std::array<double, class_count>, organisation_count> whole{};
};

/// The fair share of each organisation: classes are served in order of priority, and within a class the
/// capacity is shared by max-min fairness with equal weights.
std::array<std::array<double, class_count>, organisation_count> fair_shares(tally const& totals,
                                                                            double capacity) {
    std::array<std::array<double, class_count>, organisation_count> fair{};
    for (std::size_t priority = 0; priority < class_count; ++priority) {
        std::vector<std::size_t> order;
        for (std::size_t index = 0; index < organisation_count; ++index) {
            order.push_back(index);
        }
        std::ranges::sort(order, {},
                          [&](std::size_t index) { return totals.offered.at(index).at(priority); });
        double remaining = capacity;
        for (std::size_t place = 0; place < order.size(); ++place) {
            double const equal_share = remaining / static_cast<double>(order.size() - place);
            double const given = std::min(equal_share, totals.offered.at(order[place]).at(priority));
            fair.at(order[place]).at(priority) = given;
            remaining -= given;
        }
        capacity = std::max(0.0, remaining);
    }
    return fair;
}

double find_recovery_seconds(plan const& run, std::vector<load_result> const& results) {
    auto const ticks = static_cast<std::size_t>(run.wanted.seconds * 1000 / tick_ms);
    std::vector<double> offered(ticks, 0);
    std::vector<double> whole(ticks, 0);
    for (auto const& result : results) {
        auto const tick = std::min(ticks - 1, static_cast<std::size_t>(result.begin_ms / tick_ms));
        ++offered[tick];
        whole[tick] += result.succeeded ? 1 : 0;
    }
    auto const first = static_cast<std::size_t>(run.wanted.overload_to * 1000 / tick_ms);
    int good_tick_count = 0;
    for (std::size_t tick = first; tick < ticks; ++tick) {
        good_tick_count = whole[tick] >= recovered_fraction * offered[tick] ? good_tick_count + 1 : 0;
        if (good_tick_count == recovered_tick_count) {
            return static_cast<double>(tick + 1 - recovered_tick_count - first) * tick_ms / 1000;
        }
    }
    return -1;
}

measures compute_measures(plan const& run, std::vector<load_result> const& results) {
    measures measured;
    tally totals;
    auto const ticks = static_cast<std::size_t>(run.wanted.seconds * 1000 / tick_ms);
    measured.goodput_by_tick.assign(ticks, 0);
    double const span = run.wanted.overload_to - run.wanted.overload_from;
    std::size_t inside = 0;
    std::size_t refused = 0;
    for (auto const& result : results) {
        auto const organisation = result.stream / kind_count;
        auto const priority = kind_classes.at(result.stream % kind_count);
        ++measured.offered;
        measured.unanswered += result.answered ? 0 : 1;
        auto const tick =
            std::min(ticks - 1, static_cast<std::size_t>((result.begin_ms + result.taken_ms) / tick_ms));
        measured.goodput_by_tick[tick] += result.succeeded ? 1000 / tick_ms : 0;
        bool const is_greedy = organisation == 0 && run.wanted.greedy_factor > 1;
        bool const in_overload = result.begin_ms >= run.wanted.overload_from * 1000 &&
                                 result.begin_ms < run.wanted.overload_to * 1000;
        if (!is_greedy) {
            ++inside;
            refused += result.first_code == static_cast<int>(result_code::rate_exceeded) ? 1 : 0;
        }
        if (in_overload) {
            totals.offered.at(organisation).at(priority) += 1;
            totals.whole.at(organisation).at(priority) += result.succeeded ? 1 : 0;
        }
    }
    if (run.wanted.greedy_factor > 1) {
        // An organisation has no fair share of what it offers beyond its rate.
        double const allowed = run.offered_rate(0) * run.wanted.rate_factor * span;
        double const sum = totals.offered[0][0] + totals.offered[0][1];
        for (auto& value : totals.offered[0]) {
            value *= std::min(1.0, allowed / sum);
        }
    }
    double const lost_host = run.wanted.kill ? 0.5 : 1;
    double const bottleneck_requests = run.capacity * lost_host / run.wanted.slow_factor * span;
    auto const fair = fair_shares(totals, bottleneck_requests);
    double fair_important = 0;
    double fair_all = 0;
    double important = 0;
    double all = 0;
    measured.worst_organisation = 10;
    for (std::size_t index = 0; index < organisation_count; ++index) {
        double const fair_sum = fair.at(index)[0] + fair.at(index)[1];
        double const whole_sum = totals.whole.at(index)[0] + totals.whole.at(index)[1];
        fair_important += fair.at(index)[0];
        important += totals.whole.at(index)[0];
        fair_all += fair_sum;
        all += whole_sum;
        measured.worst_organisation = std::min(measured.worst_organisation, whole_sum / fair_sum);
        if (std::getenv("CARAWAY_LAB_DETAILS") != nullptr) {
            std::cerr << organisation_name(index) << ": important " << totals.whole.at(index)[0] << " of "
                      << fair.at(index)[0] << " fair, normal " << totals.whole.at(index)[1] << " of "
                      << fair.at(index)[1] << " fair\n";
        }
    }
    measured.important_goodput = important / fair_important;
    measured.goodput = all / fair_all;
    measured.recovery_seconds = find_recovery_seconds(run, results);
    measured.refused_inside_rate =
        static_cast<double>(refused) / static_cast<double>(std::max<std::size_t>(1, inside));
    return measured;
}

} // namespace

measures run_experiment(scenario const& wanted, std::string const& mode, std::uint64_t seed) {
    plan run{wanted, find_deployment(wanted.deployment)};
    run.capacity = run.deployed.domains * run.deployed.slots.back() / (run.deployed.work_ms / 1000);
    fleet system(
        {.configuration = make_configuration(run), .hosts = make_hosts(run), .mode = mode, .proxies = false});
    if (!system.wait_ready()) {
        std::cerr << "The fleet did not become ready.\n";
        return {};
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    auto const streams = make_streams(run, system);
    load_generator generator(streams, seed);
    schedule(run, system, generator, streams.size());
    return compute_measures(run, generator.run(wanted.seconds * 1000));
}

std::string draw_plot(scenario const& wanted, std::vector<std::pair<std::string, measures>> const& rows) {
    constexpr double width = 900;
    constexpr double height = 320;
    constexpr std::array<char const*, 3> colours{"#b03030", "#c08a20", "#2060a0"};
    double highest = 1;
    for (auto const& [mode, measured] : rows) {
        for (double const value : measured.goodput_by_tick) {
            highest = std::max(highest, value);
        }
    }
    auto const x_of = [&](double seconds) { return 50 + seconds / wanted.seconds * (width - 70); };
    auto const y_of = [&](double value) { return height - 40 - value / highest * (height - 80); };
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" "
           "fill=\"white\"/>\n"
        << "<rect x=\"" << x_of(wanted.overload_from) << "\" y=\"40\" width=\""
        << x_of(wanted.overload_to) - x_of(wanted.overload_from) << "\" height=\"" << height - 80
        << "\" fill=\"#eeeeee\"/>\n<text x=\"50\" y=\"20\">" << wanted.name
        << ": whole requests per second; grey while the trigger lasts</text>\n";
    for (std::size_t row = 0; row < rows.size(); ++row) {
        svg << "<polyline fill=\"none\" stroke=\"" << colours.at(row % colours.size()) << "\" points=\"";
        auto const& ticks = rows[row].second.goodput_by_tick;
        for (std::size_t tick = 0; tick < ticks.size(); ++tick) {
            svg << x_of((static_cast<double>(tick) + 0.5) * tick_ms / 1000) << ',' << y_of(ticks[tick])
                << ' ';
        }
        svg << "\"/>\n<text x=\"" << 60 + 130 * row << "\" y=\"36\" fill=\""
            << colours.at(row % colours.size()) << "\">" << rows[row].first << "</text>\n";
    }
    svg << "<text x=\"4\" y=\"" << y_of(highest) + 4 << "\">" << static_cast<int>(highest)
        << "</text>\n<text x=\"4\" y=\"" << y_of(0) << "\">0</text>\n<text x=\"" << width - 60 << "\" y=\""
        << height - 16 << "\">" << wanted.seconds << " s</text>\n</svg>\n";
    return svg.str();
}

} // namespace caraway::lab
