#pragma once

#include <commands/console.h>
#include <commands/exitcode.h>

#include <string>
#include <vector>

namespace Commands {

/// Checks a set of declarations and lists every fault.
/// \param arguments the name that help shows, then the command's own arguments.
ExitCode runCheck(const std::vector<std::string>& arguments, Console console);

} // namespace Commands
