/// Accounts for the bytes that a process holds for callers, targets and peers, and bounds their sum.
///
/// Whatever holds such bytes draws a charge first and keeps it as long as the bytes. A charge that does not
/// fit is refused, and its owner refuses the request, waits, or gives up the bytes.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

namespace caraway {

/// What bytes are held for. Each has a part of the budget that the others can't use.
enum class held_for : std::uint8_t { requests, answers, links };

inline constexpr std::size_t held_for_count = 3;

/// An owner of more than this can't use the last part of the budget, which is left to owners of little.
inline constexpr std::size_t small_holding_bytes = 65'536;

/// Thread-safe, but for `add_reclaimer`.
class memory_budget {
public:
    /// Whose charge does not fit, and how much it holds already.
    struct claimant {
        void const* owner{nullptr};
        std::size_t holding{0};
    };
    /// Gives up something that another owner holds and returns true, or returns false if nothing may be given
    /// up.
    using reclaimer = std::function<bool(claimant const& wanting)>;

    explicit memory_budget(std::size_t wanted_limit);

    /// Called by charges that don't fit, on their thread. To be added before the first charge.
    void add_reclaimer(held_for purpose, reclaimer reclaim);

    /// False, with nothing taken, if it does not fit even after all reclaimers have given up what they may.
    bool try_take(held_for purpose, std::size_t bytes, claimant const& wanting);
    void give_back(held_for purpose, std::size_t bytes);

    std::size_t limit() const { return this->total_limit; }
    std::size_t held() const;

private:
    bool try_take_once(held_for purpose, std::size_t bytes, std::size_t holding);
    /// What `purpose` may still take.
    std::size_t room_for(held_for purpose) const;
    bool reclaim(held_for purpose, claimant const& wanting);

    std::size_t total_limit;
    std::size_t reserve; ///< Of each purpose.
    std::array<std::vector<reclaimer>, held_for_count> reclaimers;
    mutable std::mutex mutex; ///< Guards `used`.
    std::array<std::size_t, held_for_count> used{};
};

/// A number of bytes drawn from a budget, which it gets back when the charge ends. The budget must outlive
/// it.
class memory_charge {
public:
    /// Draws from no budget, and never fails.
    memory_charge() = default;
    memory_charge(memory_budget* drawn_from, held_for why) : budget(drawn_from), purpose(why) {}
    ~memory_charge() { this->release(); }
    memory_charge(memory_charge&& other) noexcept;
    memory_charge& operator=(memory_charge&& other) noexcept;
    memory_charge(memory_charge const&) = delete;
    memory_charge& operator=(memory_charge const&) = delete;

    /// Draws what is missing or gives back what is too much. False, with nothing changed, if it does not fit.
    /// `owner` tells reclaimers who must not be made to give up anything.
    bool try_resize(std::size_t bytes, void const* owner = nullptr);
    void release();
    std::size_t size() const { return this->bytes_drawn; }

private:
    memory_budget* budget{nullptr};
    held_for purpose{held_for::requests};
    std::size_t bytes_drawn{0};
};

} // namespace caraway
