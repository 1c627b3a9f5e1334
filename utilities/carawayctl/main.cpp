/// carawayctl: the operators' command line tool.

#include "commands.hpp"

#include <QCoreApplication>
#include <tclap/CmdLine.h>

#include <iostream>
#include <unistd.h>

int main(int argument_count, char** arguments) {
    using namespace caraway;
    command_line line;
    try {
        TCLAP::CmdLine parser(
            "Checks, publishes and inspects carawaybridge.\nCommands:\n" + command_help() +
                "Exit codes: 0 all well, 1 a problem was found, 2 wrong usage, 3 warnings only.",
            ' ', "0.1.0");
        TCLAP::UnlabeledValueArg<std::string> command("command", "What to do.", true, "", "COMMAND", parser);
        TCLAP::ValueArg<std::uint64_t> revision(
            "r", "revision", "The revision of a bundle; higher than any before.", false, 0, "N", parser);
        TCLAP::SwitchArg json("j", "json", "Print data as JSON.", parser);
        TCLAP::UnlabeledMultiArg<std::string> operands("operands", "What the command works on.", false,
                                                       "OPERAND", parser);
        TCLAP::ValueArg<std::string> against(
            "a", "against", "With 'config check': what to compare with; in-force asks the nodes.", false, "",
            "in-force|FILE", parser);
        TCLAP::MultiArg<std::string> nodes("n", "node", "A node's operators' address; may be repeated.",
                                           false, "IP:PORT", parser);
        parser.parse(argument_count, arguments);
        line = {command.getValue(),           operands.getValue(), revision.getValue(), json.getValue(),
                ::isatty(STDOUT_FILENO) != 0, against.getValue(),  nodes.getValue()};
    } catch (TCLAP::ArgException const& error) {
        std::cerr << "carawayctl: " << error.error() << " " << error.argId() << '\n';
        return exit_usage;
    }
    QCoreApplication const application(argument_count, arguments);
    return attempt_or([&] { return run_command(line); },
                      [](problem const& cause) {
                          std::cerr << to_text(cause) << '\n';
                          return exit_problem;
                      });
}
