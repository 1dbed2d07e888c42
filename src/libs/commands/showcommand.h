#pragma once

#include <commands/console.h>
#include <commands/exitcode.h>

#include <string>
#include <vector>

namespace Commands {

/// Shows the configuration in force and the assignment of each pool, as the log has them.
/// \param arguments the name that help shows, then the command's own arguments.
ExitCode runShow(const std::vector<std::string>& arguments, Console console);

} // namespace Commands
