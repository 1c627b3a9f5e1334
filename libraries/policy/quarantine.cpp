#include "policy/quarantine.hpp"

#include "base/digest.hpp"

namespace caraway {

namespace {

constexpr std::size_t max_entries = 4096;

} // namespace

std::uint64_t quarantine::fingerprint_of(std::string const& organisation, std::string const& route,
                                         std::string const& path, std::string_view body) {
    return fast_hash(body, fast_hash(path, fast_hash(route, fast_hash(organisation))));
}

void quarantine::record_crash(std::vector<std::uint64_t> const& in_flight, time_point now) {
    for (auto const fingerprint : in_flight) {
        if (this->entries.size() >= max_entries && !this->entries.contains(fingerprint)) {
            continue;
        }
        auto& entry = this->entries[fingerprint];
        entry.fingerprint = fingerprint;
        ++entry.crashes;
        entry.last_crash = now;
    }
}

void quarantine::clear_suspicion(std::uint64_t fingerprint) {
    auto const found = this->entries.find(fingerprint);
    if (found != this->entries.end() && found->second.crashes < crashes_to_refuse) {
        this->entries.erase(found);
    }
}

quarantine_verdict quarantine::verdict_for(std::uint64_t fingerprint, time_point now) const {
    auto const found = this->entries.find(fingerprint);
    if (found == this->entries.end() || now - found->second.last_crash >= retention_span) {
        return quarantine_verdict::clear;
    }
    return found->second.crashes >= crashes_to_refuse ? quarantine_verdict::refuse
                                                      : quarantine_verdict::isolate;
}

bool quarantine::merge(std::uint64_t fingerprint, std::uint32_t crashes, duration age, time_point now) {
    bool const is_ignored = age >= retention_span || age.milliseconds < 0 ||
                            (this->entries.size() >= max_entries && !this->entries.contains(fingerprint));
    if (is_ignored) {
        return false;
    }
    auto& entry = this->entries[fingerprint];
    if (crashes <= entry.crashes) {
        return false;
    }
    entry = {fingerprint, crashes, now - age};
    return true;
}

std::vector<suspect> quarantine::suspects(time_point now) const {
    std::vector<suspect> all;
    for (auto const& [fingerprint, entry] : this->entries) {
        if (now - entry.last_crash < retention_span) {
            all.push_back(entry);
        }
    }
    return all;
}

void quarantine::remove_expired(time_point now) {
    std::erase_if(this->entries,
                  [now](auto const& entry) { return now - entry.second.last_crash >= retention_span; });
}

} // namespace caraway
