#include "standins/node_process.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <sys/prctl.h>
#include <unistd.h>

namespace caraway::standins {

namespace {

/// Descriptors from this number on stay open; the stand-ins' sockets are expected to lie below it.
constexpr int descriptor_limit = 4096;

std::string node_program() {
    auto const* path = std::getenv("CARAWAYD");
    return path == nullptr ? CARAWAYD_PATH : path;
}

} // namespace

pid_t start_node(std::string const& settings_path, std::string const& log_path,
                 std::string const& span_path) {
    auto const program = node_program();
    auto const child = ::fork();
    if (child != 0) {
        return child;
    }
    // A node must not survive a test program that was aborted.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int const log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDERR_FILENO);
    ::dup2(log, STDOUT_FILENO);
    if (!span_path.empty()) {
        ::dup2(::open(span_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644), span_descriptor);
    }
    // The node must not inherit the sockets of the stand-ins.
    for (int descriptor = span_descriptor + 1; descriptor < descriptor_limit; ++descriptor) {
        ::close(descriptor);
    }
    ::execl(program.c_str(), program.c_str(), "--settings", settings_path.c_str(), nullptr);
    ::_exit(127);
}

} // namespace caraway::standins
