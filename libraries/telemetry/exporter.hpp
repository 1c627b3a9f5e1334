/// Writes log lines and spans on a thread of its own, so that request handling never waits for them.
#pragma once

#include "base/bounded_queue.hpp"
#include "telemetry/log.hpp"
#include "telemetry/log_limiter.hpp"
#include "telemetry/span.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace caraway {

/// Where spans are sent, and the service instance that they belong to.
struct exporter_settings {
    std::string service;
    std::string host;
    int file_descriptor{-1}; ///< -1: not written.
    /// Sends one OTLP/JSON export request; empty: not sent.
    std::function<void(std::string)> post;
};

class exporter {
public:
    explicit exporter(exporter_settings exporter_options);
    ~exporter();
    exporter(exporter const&) = delete;
    exporter& operator=(exporter const&) = delete;

    /// Thread-safe. When the queue is full, the record is dropped and counted.
    void enqueue_log(log_entry&& entry);
    void enqueue_span(span&& value);

    std::uint64_t dropped() const { return this->dropped_records; }

private:
    using record = std::variant<log_entry, span>;

    void enqueue(record&& value);
    void run();
    void write_spans(std::vector<span> const& spans);

    exporter_settings options;
    bounded_queue<record> queue;
    log_limiter limiter; ///< Used by the worker thread only.
    std::mutex mutex;
    std::condition_variable wake_condition;
    bool has_records{false};
    bool stop_requested{false};
    std::atomic<std::uint64_t> dropped_records{0};
    std::thread worker;
};

} // namespace caraway
