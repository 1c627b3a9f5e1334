/// Bodies of requests and answers: received piece by piece, then immutable and shared by whoever handles
/// them.
#pragma once

#include "base/memory_budget.hpp"

#include <cstddef>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>

namespace caraway {

/// Bytes from `std::malloc`.
struct malloc_deleter {
    void operator()(char* bytes) const { std::free(bytes); }
};
using malloc_bytes = std::unique_ptr<char, malloc_deleter>;

/// An immutable body. Copies share its bytes and the charge for them.
class message_body {
public:
    message_body() = default;
    message_body(std::string text, memory_charge drawn = {});
    message_body(char const* text) : message_body(std::string(text)) {}

    std::string_view view() const;
    std::size_t size() const { return this->view().size(); }
    bool empty() const { return this->view().empty(); }
    std::string to_string() const { return std::string(this->view()); }
    bool operator==(std::string_view text) const { return this->view() == text; }

    /// Keeps the charge with the bytes; of an empty body it ends at once.
    void hold(memory_charge drawn) const;
    /// Gives the charge back although the bytes are still there; for whoever is about to drop the last copy
    /// and can't do it at once.
    void release_charge() const;

private:
    friend class body_builder;

    struct content;
    std::shared_ptr<content> shared;
};

/// A body that is being received. A large one grows by remapping its pages, so that no second copy of it
/// exists at any time.
class body_builder {
public:
    body_builder() = default;
    body_builder(body_builder&& other) noexcept;
    body_builder& operator=(body_builder&& other) noexcept;
    body_builder(body_builder const&) = delete;
    body_builder& operator=(body_builder const&) = delete;
    ~body_builder() = default;

    /// The body is not expected to become longer than this.
    void expect(std::size_t bytes_in_all) { this->expected = bytes_in_all; }
    /// False, with nothing changed, if the body has been given up.
    bool append(std::string_view more);
    /// Drops what was received; nothing more is accepted.
    void give_up();

    std::size_t size() const { return this->length; }
    std::string_view view() const { return {this->bytes.get(), this->length}; }
    std::string to_string() const { return std::string(this->view()); }
    /// The memory that it takes, in bytes.
    std::size_t held() const;

    /// Moves out what was received, with the charge for it. The charge is kept also for an empty body.
    message_body finish(memory_charge drawn = {});

private:
    void grow(std::size_t needed);

    malloc_bytes bytes;
    std::size_t length{0};
    std::size_t capacity{0};
    std::size_t expected{0};
    bool is_given_up{false};
};

} // namespace caraway
