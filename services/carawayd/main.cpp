/// carawayd: the overload control process that runs beside the target on each host.

#include "node/node_runtime.hpp"
#include "platform/registry_binding.hpp"

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
constexpr int malloc_mmap_threshold = 262'144;
constexpr int malloc_trim_threshold = 2'097'152;
constexpr int max_malloc_arenas = 2;

std::array<int, 2> signal_pipe{-1, -1};

extern "C" void on_signal(int number) {
    char const byte = static_cast<char>(number);
    [[maybe_unused]] auto const written = ::write(signal_pipe[1], &byte, 1);
}

int print_problem_and_get_exit_code(problem const& cause) {
    std::cerr << "carawayd: " << to_text(cause) << '\n';
    return cause.code == result_code::io_failed ? exit_failure : exit_usage;
}

result<platform_binding> choose_binding(settings const& options) {
    if (options.platform_interface == "documents") {
        return make_document_binding();
    }
    if (options.platform_interface == registry::interface_name) {
        return registry::make_registry_binding(options);
    }
    return fail({result_code::configuration_out_of_bounds,
                 "'platform.interface' does not know '" + options.platform_interface + "'."});
}

/// Reads the settings again. Invalid settings are reported and not applied.
void reload(node_runtime& node, std::string const& path) {
    attempt_or(
        [&]() -> result<bool> {
            BOOST_LEAF_AUTO(reloaded, read_settings(path));
            node.reload(reloaded);
            return true;
        },
        [](problem const& cause) {
            print_problem_and_get_exit_code(cause);
            return false;
        });
}

result<int> run_node(settings const& options, std::string const& path, QCoreApplication& application) {
    open_log(options.log_level);
    BOOST_LEAF_AUTO(binding, choose_binding(options));
    node_runtime node(options, std::move(binding));
    BOOST_LEAF_CHECK(node.start());
    QSocketNotifier notifier(signal_pipe[0], QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &application, [&node, &path] {
        char byte = 0;
        if (::read(signal_pipe[0], &byte, 1) != 1) {
            return;
        }
        if (byte == SIGHUP) {
            return reload(node, path);
        }
        node.terminate();
    });
    return QCoreApplication::exec();
}

} // namespace

int main(int argument_count, char** arguments) {
    std::string path;
    bool only_check = false;
    try {
        TCLAP::CmdLine line("Overload control for the target on this host. SIGTERM drains it, SIGHUP reads "
                            "the settings again.",
                            ' ', "0.1.0");
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
    sigaction(SIGHUP, &action, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    // With a malloc arena for each of about twenty threads, each would keep the memory that a burst once
    // needed.
    ::mallopt(M_ARENA_MAX, max_malloc_arenas);
    // Without a fixed threshold malloc raises it with the first large body that is freed, and keeps the
    // memory of later ones.
    ::mallopt(M_MMAP_THRESHOLD, malloc_mmap_threshold);
    ::mallopt(M_TRIM_THRESHOLD, malloc_trim_threshold);
    QCoreApplication application(argument_count, arguments);
    return attempt_or(
        [&]() -> result<int> {
            BOOST_LEAF_AUTO(options, read_settings(path));
            if (only_check) {
                std::cout << path << ": ok\n";
                return 0;
            }
            return run_node(options, path, application);
        },
        [](problem const& cause) { return print_problem_and_get_exit_code(cause); });
}
