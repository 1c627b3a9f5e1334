/// The clock for all decisions: monotonic milliseconds that keep counting while the process is stopped.
#pragma once

#include <compare>
#include <cstdint>

namespace caraway {

/// A span of time in milliseconds; fractional, since a call may take less than one.
struct duration {
    double milliseconds{0};

    auto operator<=>(duration const&) const = default;
    duration operator+(duration other) const { return {this->milliseconds + other.milliseconds}; }
    duration operator-(duration other) const { return {this->milliseconds - other.milliseconds}; }
    duration operator*(double factor) const { return {this->milliseconds * factor}; }
    double operator/(duration other) const { return this->milliseconds / other.milliseconds; }
    /// The same span in seconds, the unit of rates.
    double seconds() const { return this->milliseconds / 1000.0; }
};

/// An instant of this host's monotonic clock; instants of different hosts can't be compared.
struct time_point {
    double milliseconds{0};

    auto operator<=>(time_point const&) const = default;
    time_point operator+(duration span) const { return {this->milliseconds + span.milliseconds}; }
    time_point operator-(duration span) const { return {this->milliseconds - span.milliseconds}; }
    duration operator-(time_point other) const { return {this->milliseconds - other.milliseconds}; }
};

/// Reads the boot-time clock, which counts through suspend, so that a lease held over a pause of the process
/// or a suspend of the host has expired afterwards.
struct monotonic_clock {
    static time_point now();
};

/// Nanoseconds since the epoch; for traces and logs only, since the time of day may jump.
std::uint64_t wall_clock_nanoseconds();

} // namespace caraway
