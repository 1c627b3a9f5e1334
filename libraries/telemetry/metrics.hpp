/// Counters, gauges and latency histograms of one node, written in the Prometheus text format.
#pragma once

#include "base/clock.hpp"
#include "base/result_code.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace caraway {

/// The latencies that have a histogram.
enum class latency_metric : std::uint8_t {
    request, ///< From a caller's request to its answer, at the entry node.
    target,  ///< From sending a request to the own target until its answer.
    queue,   ///< The wait in the queue of the own target.
    loop,    ///< How late the core's loop begins its periodic work.
};

/// Not thread-safe: one thread owns it and publishes its text.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;

    void count_answer(outcome result, result_code code);
    void increment_counter(std::string const& name, std::uint64_t amount = 1);
    void set_gauge(std::string const& name, double value);
    void observe(latency_metric metric, duration taken);

    std::uint64_t counter(std::string const& name) const;
    std::map<std::pair<outcome, result_code>, std::uint64_t> const& answers() const {
        return this->answer_counts;
    }

    std::string to_prometheus() const;

private:
    struct histograms;

    std::map<std::pair<outcome, result_code>, std::uint64_t> answer_counts;
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, double> gauges;
    std::unique_ptr<histograms> latencies;
};

} // namespace caraway
