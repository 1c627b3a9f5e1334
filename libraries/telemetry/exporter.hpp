/// The duty that writes log lines and spans, so that no decision waits for them.
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

/// Where spans go and whose they are.
struct exporter_settings {
    std::string service;
    std::string host;
    int file_descriptor{-1}; ///< -1: not written.
    /// Takes an OTLP/JSON request for sending; empty: not sent.
    std::function<void(std::string)> post;
};

class exporter {
public:
    explicit exporter(exporter_settings wanted);
    ~exporter();
    exporter(exporter const&) = delete;
    exporter& operator=(exporter const&) = delete;

    /// Thread-safe; a full ring drops the record and counts it.
    void enqueue_log(log_entry&& entry);
    void enqueue_span(span&& value);

    std::uint64_t dropped() const { return this->dropped_records; }

private:
    using record = std::variant<log_entry, span>;

    void enqueue(record&& value);
    void run();
    void write_spans(std::vector<span> const& spans);

    exporter_settings options;
    bounded_queue<record> records;
    log_limiter limiter; ///< Of the writing thread.
    std::mutex mutex;
    std::condition_variable wake_condition;
    bool pending{false};
    bool stopping{false};
    std::atomic<std::uint64_t> dropped_records{0};
    std::thread worker;
};

} // namespace caraway
