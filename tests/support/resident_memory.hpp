/// Reads the resident memory of a process, for memory growth tests and benchmarks.
#pragma once

#include <cstddef>
#include <fstream>
#include <string>

namespace caraway::tests {

/// In kilobytes; `process` is a process id or "self". Returns 0 when it cannot be read.
inline std::size_t resident_kilobytes(std::string const& process = "self") {
    std::ifstream status("/proc/" + process + "/status");
    std::string word;
    std::size_t size = 0;
    while (status >> word) {
        if (word == "VmRSS:") {
            status >> size;
        }
    }
    return size;
}

} // namespace caraway::tests
