/// Tracks requests that were in flight when a target crashed, and decides which are refused.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace caraway {

/// What to do with a request.
enum class quarantine_verdict : std::uint8_t {
    clear,   ///< Not suspected.
    isolate, ///< May have crashed a target: must not run at the same time as another suspect.
    refuse,  ///< Was involved in two crashes.
};

/// A request fingerprint with the number of crashes attributed to it.
struct suspect {
    std::uint64_t fingerprint{0};
    std::uint32_t crashes{0};
    time_point last_crash;
};

class quarantine {
public:
    /// Equal for all copies of a request.
    static std::uint64_t fingerprint_of(std::string const& organisation, std::string const& route,
                                        std::string const& path, std::string_view body);

    /// The target crashed; `in_flight` are the fingerprints under suspicion. A suspect that is in flight at a
    /// second crash is taken for the cause: no other suspect runs at the same time, only ordinary requests.
    void record_crash(std::vector<std::uint64_t> const& in_flight, time_point now);

    /// The request was answered without a crash. Has no effect once the request is refused.
    void clear_suspicion(std::uint64_t fingerprint);

    quarantine_verdict verdict_for(std::uint64_t fingerprint, time_point now) const;

    /// Merges a report of another node; `age` is the time since the last crash. True when it changed this
    /// node's state.
    bool merge(std::uint64_t fingerprint, std::uint32_t crashes, duration age, time_point now);

    /// The suspects to gossip to other nodes.
    std::vector<suspect> suspects(time_point now) const;

    void remove_expired(time_point now);

    static constexpr duration retention_span{60'000};
    static constexpr std::uint32_t crashes_to_refuse = 2;

private:
    std::unordered_map<std::uint64_t, suspect> entries;
};

} // namespace caraway
