/// Requests that were in flight when a target died, and those that are refused for it.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace caraway {

/// What to do with a request.
enum class quarantine_verdict : std::uint8_t {
    clear,   ///< Nothing is held against it.
    isolate, ///< It may have killed a target: run it while nothing else runs there.
    refuse,  ///< It has killed targets twice.
};

/// A fingerprint with the deaths it was present at.
struct suspect {
    std::uint64_t fingerprint{0};
    std::uint32_t crashes{0};
    time_point last_crash;
};

class quarantine {
public:
    /// The same for every copy of a request.
    static std::uint64_t fingerprint_of(std::string const& organisation, std::string const& route,
                                        std::string const& path, std::string const& body);

    /// The target died with these in flight. One that ran alone is guilty beyond doubt.
    void record_crash(std::vector<std::uint64_t> const& in_flight, time_point now);

    /// The request was answered, so it does not kill.
    void clear_suspicion(std::uint64_t fingerprint);

    quarantine_verdict verdict_for(std::uint64_t fingerprint, time_point now) const;

    /// Takes another node's word; `age` is how long it has known. True when it was news.
    bool merge(std::uint64_t fingerprint, std::uint32_t crashes, duration age, time_point now);

    /// Suspects to tell others of.
    std::vector<suspect> suspects(time_point now) const;

    void remove_expired(time_point now);

    static constexpr duration retention_span{60'000};
    static constexpr std::uint32_t crashes_to_refuse = 2;

private:
    std::unordered_map<std::uint64_t, suspect> entries;
};

} // namespace caraway
