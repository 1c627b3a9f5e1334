/// Memory and descriptors of another process.
#pragma once

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <sys/types.h>

namespace caraway::tests {

/// The most resident memory that the process has had, in kilobytes; more than any bound if it can't be read.
inline std::size_t peak_resident_kilobytes(pid_t process) {
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    std::size_t size = 0;
    while (status >> word) {
        if (word == "VmHWM:" && status >> size) {
            return size;
        }
    }
    return static_cast<std::size_t>(-1);
}

inline std::size_t open_descriptors(pid_t process) {
    std::error_code error;
    std::filesystem::directory_iterator const entries("/proc/" + std::to_string(process) + "/fd", error);
    return error ? static_cast<std::size_t>(-1)
                 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace caraway::tests
