#pragma once

#include <commands/console.h>
#include <commands/exitcode.h>

#include <string>
#include <vector>

namespace Commands {

/// Writes each record of the log as it is judged: configurations, assignments, settlements and refusals.
/// \param arguments the name that help shows, then the command's own arguments.
ExitCode runWatch(const std::vector<std::string>& arguments, Console console);

} // namespace Commands
