#include "telemetry/exporter.hpp"

#include <unistd.h>

namespace caraway {

namespace {

constexpr std::size_t queue_capacity = 4096;

void write_all(int descriptor, std::string const& text) {
    std::size_t written = 0;
    while (written < text.size()) {
        auto const count = ::write(descriptor, text.data() + written, text.size() - written);
        if (count <= 0) {
            return;
        }
        written += static_cast<std::size_t>(count);
    }
}

} // namespace

exporter::exporter(exporter_settings exporter_options)
    : options(std::move(exporter_options)), queue(queue_capacity) {
    this->queue.set_wake_callback([this] {
        {
            std::lock_guard const guard(this->mutex);
            this->has_records = true;
        }
        this->wake_condition.notify_one();
    });
    this->worker = std::thread([this] { this->run(); });
}

exporter::~exporter() {
    {
        std::lock_guard const guard(this->mutex);
        this->stop_requested = true;
    }
    this->wake_condition.notify_one();
    this->worker.join();
}

void exporter::enqueue(record&& value) {
    if (!this->queue.try_push(std::move(value))) {
        ++this->dropped_records;
    }
}

void exporter::enqueue_log(log_entry&& entry) {
    this->enqueue(std::move(entry));
}

void exporter::enqueue_span(span&& value) {
    bool const wanted = this->options.file_descriptor >= 0 || this->options.post;
    if (wanted) {
        this->enqueue(std::move(value));
    }
}

void exporter::run() {
    bool last_round = false;
    while (!last_round) {
        {
            std::unique_lock lock(this->mutex);
            this->wake_condition.wait(lock, [this] { return this->has_records || this->stop_requested; });
            this->has_records = false;
            last_round = this->stop_requested;
        }
        std::vector<span> spans;
        auto const now = monotonic_clock::now();
        this->queue.drain([&](record&& value) {
            if (auto* entry = std::get_if<log_entry>(&value)) {
                if (this->limiter.admit(*entry, now)) {
                    write_log(*entry);
                }
                return;
            }
            spans.push_back(std::move(std::get<span>(value)));
        });
        if (!spans.empty()) {
            this->write_spans(spans);
        }
    }
}

void exporter::write_spans(std::vector<span> const& spans) {
    auto const text = spans_to_json(spans, this->options.service, this->options.host);
    if (this->options.file_descriptor >= 0) {
        write_all(this->options.file_descriptor, text + "\n");
    }
    if (this->options.post) {
        this->options.post(text);
    }
}

} // namespace caraway
