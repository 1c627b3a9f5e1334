#include "base/message_body.hpp"

#include <algorithm>
#include <cstring>
#include <new>
#include <utility>

namespace caraway {

namespace {

constexpr std::size_t min_capacity = 512;
/// Pages of a larger allocation are resident only once they are written.
constexpr std::size_t mapped_bytes = 262'144;
constexpr std::size_t largest_growth = 1U << 20U;

} // namespace

struct message_body::content {
    std::string text; ///< Empty if the body was received by a builder.
    malloc_bytes bytes;
    std::size_t length{0};
    memory_charge charge;
};

message_body::message_body(std::string text, memory_charge drawn) {
    if (!text.empty()) {
        this->shared = std::make_shared<content>();
        this->shared->text = std::move(text);
        this->shared->charge = std::move(drawn);
    }
}

std::string_view message_body::view() const {
    if (this->shared == nullptr) {
        return {};
    }
    return this->shared->bytes == nullptr ? std::string_view(this->shared->text)
                                          : std::string_view(this->shared->bytes.get(), this->shared->length);
}

void message_body::hold(memory_charge drawn) const {
    if (this->shared != nullptr) {
        this->shared->charge = std::move(drawn);
    }
}

void message_body::release_charge() const {
    if (this->shared != nullptr) {
        this->shared->charge.release();
    }
}

body_builder::body_builder(body_builder&& other) noexcept {
    *this = std::move(other);
}

body_builder& body_builder::operator=(body_builder&& other) noexcept {
    this->bytes = std::move(other.bytes);
    this->length = std::exchange(other.length, 0);
    this->capacity = std::exchange(other.capacity, 0);
    this->expected = std::exchange(other.expected, 0);
    this->is_given_up = other.is_given_up;
    return *this;
}

bool body_builder::append(std::string_view more) {
    if (this->is_given_up) {
        return false;
    }
    if (more.empty()) {
        return true;
    }
    if (this->length + more.size() > this->capacity) {
        this->grow(this->length + more.size());
    }
    std::memcpy(this->bytes.get() + this->length, more.data(), more.size());
    this->length += more.size();
    return true;
}

void body_builder::grow(std::size_t needed) {
    auto const grown = this->capacity + std::clamp(this->capacity, min_capacity, largest_growth);
    auto const wanted = std::max(needed, this->expected == 0 ? grown : std::min(grown, this->expected));
    auto* const larger = static_cast<char*>(std::realloc(this->bytes.get(), wanted));
    if (larger == nullptr) {
        throw std::bad_alloc();
    }
    static_cast<void>(this->bytes.release()); // The reallocation has freed or kept its memory.
    this->bytes.reset(larger);
    this->capacity = wanted;
}

void body_builder::give_up() {
    this->bytes.reset();
    this->length = 0;
    this->capacity = 0;
    this->is_given_up = true;
}

std::size_t body_builder::held() const {
    return this->capacity < mapped_bytes ? this->capacity : this->length;
}

message_body body_builder::finish(memory_charge drawn) {
    message_body body;
    if (this->length > 0 || drawn.size() > 0) {
        body.shared = std::make_shared<message_body::content>();
        body.shared->bytes = std::move(this->bytes);
        body.shared->length = this->length;
        body.shared->charge = std::move(drawn);
    }
    *this = {};
    return body;
}

} // namespace caraway
