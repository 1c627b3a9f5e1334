/// carawayd: the process that sits on each target host.

#include "node/node_runtime.hpp"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <tclap/CmdLine.h>

#include <array>
#include <csignal>
#include <iostream>
#include <malloc.h>
#include <unistd.h>

namespace {

using namespace caraway;

constexpr int exit_usage = 2;
constexpr int exit_failure = 1;
constexpr int max_heaps = 2;

std::array<int, 2> signal_pipe{-1, -1};

extern "C" void on_signal(int) {
    char const byte = 1;
    [[maybe_unused]] auto const written = ::write(signal_pipe[1], &byte, 1);
}

int report(problem const& cause) {
    std::cerr << "carawayd: " << to_text(cause) << '\n';
    return cause.code == result_code::io_failed ? exit_failure : exit_usage;
}

result<int> serve(settings const& read, QCoreApplication& application) {
    open_log(read.log_level);
    node_runtime node(read);
    BOOST_LEAF_CHECK(node.start());
    QSocketNotifier notifier(signal_pipe[0], QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &application, [&node, &notifier] {
        notifier.setEnabled(false);
        node.terminate();
    });
    return QCoreApplication::exec();
}

} // namespace

int main(int argument_count, char** arguments) {
    std::string path;
    bool only_check = false;
    try {
        TCLAP::CmdLine line("Overload control for the target on this host. SIGTERM drains it.", ' ', "0.1.0");
        TCLAP::ValueArg<std::string> settings_file("s", "settings", "The node's settings, a TOML file.", true,
                                                   "", "FILE", line);
        TCLAP::SwitchArg check("c", "check", "Check the settings and exit.", line);
        line.parse(argument_count, arguments);
        path = settings_file.getValue();
        only_check = check.getValue();
    } catch (TCLAP::ArgException const& error) {
        std::cerr << "carawayd: " << error.error() << " " << error.argId() << '\n';
        return exit_usage;
    }
    if (::pipe(signal_pipe.data()) != 0) {
        return exit_failure;
    }
    struct sigaction action {};
    action.sa_handler = on_signal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    // A heap for each of some twenty threads would keep what a burst once needed, twenty times over.
    ::mallopt(M_ARENA_MAX, max_heaps);
    QCoreApplication application(argument_count, arguments);
    return attempt_or(
        [&]() -> result<int> {
            BOOST_LEAF_AUTO(read, read_settings(path));
            if (only_check) {
                std::cout << path << ": ok\n";
                return 0;
            }
            return serve(read, application);
        },
        [](problem const& cause) { return report(cause); });
}
