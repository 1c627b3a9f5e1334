#include "telemetry/metrics.hpp"

#include <boost/histogram.hpp>

#include <array>
#include <sstream>

namespace caraway {

namespace {

namespace histogram = boost::histogram;

constexpr std::array<std::string_view, 4> latency_metric_names{"request", "target", "queue", "loop"};
constexpr unsigned int bin_count = 36;
constexpr double lowest_ms = 0.05;
constexpr double highest_ms = 20'000;

using log_axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using latency_histogram = decltype(histogram::make_histogram(log_axis(1, 1.0, 2.0)));

latency_histogram make_latency_histogram() {
    return histogram::make_histogram(log_axis(bin_count, lowest_ms, highest_ms));
}

void write_histogram(std::ostringstream& stream, std::string_view name, latency_histogram const& values,
                     double sum) {
    double total = values.at(-1);
    for (int index = 0; index < static_cast<int>(bin_count); ++index) {
        total += values.at(index);
        stream << "caraway_" << name << "_milliseconds_bucket{le=\"" << values.axis().bin(index).upper()
               << "\"} " << total << '\n';
    }
    total += values.at(bin_count);
    stream << "caraway_" << name << "_milliseconds_bucket{le=\"+Inf\"} " << total << '\n';
    stream << "caraway_" << name << "_milliseconds_sum " << sum << '\n';
    stream << "caraway_" << name << "_milliseconds_count " << total << '\n';
}

} // namespace

struct metrics::histograms {
    std::array<latency_histogram, latency_metric_names.size()> values{
        make_latency_histogram(), make_latency_histogram(), make_latency_histogram(),
        make_latency_histogram()};
    std::array<double, latency_metric_names.size()> sums{};
};

metrics::metrics() : latencies(std::make_unique<histograms>()) {}

metrics::~metrics() = default;

void metrics::count_answer(outcome result, result_code code) {
    ++this->answer_counts[{result, code}];
}

void metrics::increment_counter(std::string const& name, std::uint64_t amount) {
    this->counters[name] += amount;
}

void metrics::set_gauge(std::string const& name, double value) {
    this->gauges[name] = value;
}

void metrics::observe(latency_metric metric, duration taken) {
    auto const index = static_cast<std::size_t>(metric);
    this->latencies->values.at(index)(taken.milliseconds);
    this->latencies->sums.at(index) += taken.milliseconds;
}

std::uint64_t metrics::counter(std::string const& name) const {
    auto const found = this->counters.find(name);
    return found == this->counters.end() ? 0 : found->second;
}

std::string metrics::to_prometheus() const {
    std::ostringstream stream;
    for (auto const& [key, count] : this->answer_counts) {
        stream << "caraway_answers_total{outcome=\"" << name_of(key.first) << "\",code=\""
               << describe(key.second).name << "\"} " << count << '\n';
    }
    for (auto const& [name, count] : this->counters) {
        stream << "caraway_" << name << "_total " << count << '\n';
    }
    for (auto const& [name, value] : this->gauges) {
        stream << "caraway_" << name << ' ' << value << '\n';
    }
    for (std::size_t index = 0; index < latency_metric_names.size(); ++index) {
        write_histogram(stream, latency_metric_names.at(index), this->latencies->values.at(index),
                        this->latencies->sums.at(index));
    }
    return stream.str();
}

} // namespace caraway
