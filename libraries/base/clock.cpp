#include "base/clock.hpp"

#include <ctime>

namespace caraway {

namespace {

double read_milliseconds(clockid_t id) {
    timespec value{};
    clock_gettime(id, &value);
    return static_cast<double>(value.tv_sec) * 1e3 + static_cast<double>(value.tv_nsec) / 1e6;
}

} // namespace

time_point monotonic_clock::now() {
    return {read_milliseconds(CLOCK_BOOTTIME)};
}

std::uint64_t wall_clock_nanoseconds() {
    timespec value{};
    clock_gettime(CLOCK_REALTIME, &value);
    return static_cast<std::uint64_t>(value.tv_sec) * 1'000'000'000U +
           static_cast<std::uint64_t>(value.tv_nsec);
}

} // namespace caraway
