#pragma once

#include <commands/console.h>
#include <commands/exitcode.h>

#include <string>
#include <string_view>
#include <vector>

namespace Commands {

/// One command of the operators' command line.
struct CommandRow {
    std::string_view name;
    /// One line for the list of commands.
    std::string_view summary;
    ExitCode (*run)(const std::vector<std::string>& arguments, Console console);
};

/// All commands, in the order that help lists them.
const std::vector<CommandRow>& commandTable();

/// Runs the command that the first of \a arguments names; without one, or with --help, lists the commands.
ExitCode runCommand(const std::vector<std::string>& arguments, Console console);

} // namespace Commands
