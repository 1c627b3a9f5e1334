#include "base/memory_budget.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace caraway {

namespace {

constexpr std::size_t reserve_fraction = 8;
constexpr std::size_t small_holding_fraction = 16;

} // namespace

memory_budget::memory_budget(std::size_t wanted_limit)
    : total_limit(wanted_limit), reserve(wanted_limit / reserve_fraction) {}

void memory_budget::add_reclaimer(held_for purpose, reclaimer reclaim) {
    this->reclaimers.at(static_cast<std::size_t>(purpose)).push_back(std::move(reclaim));
}

bool memory_budget::try_take(held_for purpose, std::size_t bytes, claimant const& wanting) {
    while (!this->try_take_once(purpose, bytes, wanting.holding)) {
        if (!this->reclaim(purpose, wanting)) {
            return false;
        }
    }
    return true;
}

bool memory_budget::try_take_once(held_for purpose, std::size_t bytes, std::size_t holding) {
    std::lock_guard const guard(this->mutex);
    bool const is_small = holding + bytes <= small_holding_bytes;
    auto const left_to_others = is_small ? 0 : this->total_limit / small_holding_fraction;
    if (bytes + left_to_others > this->room_for(purpose)) {
        return false;
    }
    this->used.at(static_cast<std::size_t>(purpose)) += bytes;
    return true;
}

std::size_t memory_budget::room_for(held_for purpose) const {
    std::size_t taken = 0;
    for (std::size_t index = 0; index < held_for_count; ++index) {
        auto const own = this->used.at(index);
        taken += index == static_cast<std::size_t>(purpose) ? own : std::max(own, this->reserve);
    }
    return this->total_limit - std::min(this->total_limit, taken);
}

void memory_budget::give_back(held_for purpose, std::size_t bytes) {
    std::lock_guard const guard(this->mutex);
    this->used.at(static_cast<std::size_t>(purpose)) -= bytes;
}

std::size_t memory_budget::held() const {
    std::lock_guard const guard(this->mutex);
    return std::accumulate(this->used.begin(), this->used.end(), std::size_t{0});
}

bool memory_budget::reclaim(held_for purpose, claimant const& wanting) {
    return std::ranges::any_of(this->reclaimers.at(static_cast<std::size_t>(purpose)),
                               [&wanting](reclaimer const& reclaim) { return reclaim(wanting); });
}

memory_charge::memory_charge(memory_charge&& other) noexcept
    : budget(other.budget), purpose(other.purpose), bytes_drawn(std::exchange(other.bytes_drawn, 0)) {}

memory_charge& memory_charge::operator=(memory_charge&& other) noexcept {
    if (this != &other) {
        this->release();
        this->budget = other.budget;
        this->purpose = other.purpose;
        this->bytes_drawn = std::exchange(other.bytes_drawn, 0);
    }
    return *this;
}

bool memory_charge::try_resize(std::size_t bytes, void const* owner) {
    if (this->budget == nullptr) {
        return true;
    }
    if (bytes > this->bytes_drawn &&
        !this->budget->try_take(this->purpose, bytes - this->bytes_drawn, {owner, this->bytes_drawn})) {
        return false;
    }
    if (bytes < this->bytes_drawn) {
        this->budget->give_back(this->purpose, this->bytes_drawn - bytes);
    }
    this->bytes_drawn = bytes;
    return true;
}

void memory_charge::release() {
    if (this->budget != nullptr && this->bytes_drawn > 0) {
        this->budget->give_back(this->purpose, this->bytes_drawn);
    }
    this->bytes_drawn = 0;
}

} // namespace caraway
