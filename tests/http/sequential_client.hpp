/// A client that sends one request at a time to a target and waits for its answer.
#pragma once

#include "http/target_client.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace caraway::tests {

class sequential_client {
public:
    explicit sequential_client(std::uint16_t port, http_dialect dialect = {})
        : client({.address = "127.0.0.1", .port = port, .dialect = std::move(dialect)},
                 [this](target_answer&& answer) {
                     std::lock_guard const guard(this->mutex);
                     this->answers.push_back(std::move(answer));
                     this->changed.notify_all();
                 }) {
        this->client.start();
    }

    /// Sets the request's id. If `cancelled` is set, cancels the request after 50 ms.
    target_answer send(target_request request, bool cancelled = false) {
        auto const id = ++this->last_id;
        request.id = id;
        REQUIRE(this->client.send(std::move(request)));
        if (cancelled) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            this->client.cancel(id);
        }
        std::unique_lock lock(this->mutex);
        REQUIRE(this->changed.wait_for(lock, std::chrono::seconds(10),
                                       [&] { return this->answers.size() == id; }));
        return this->answers.back();
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<target_answer> answers;
    std::uint64_t last_id{0};
    target_client client;
};

} // namespace caraway::tests
