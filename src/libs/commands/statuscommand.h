#pragma once

#include <commands/console.h>
#include <commands/exitcode.h>

#include <string>
#include <vector>

namespace Commands {

/// Shows where each VM stands against the log: its configuration, how far it has read, and what it
/// dispatches. \param arguments the name that help shows, then the command's own arguments.
ExitCode runStatus(const std::vector<std::string>& arguments, Console console);

} // namespace Commands
