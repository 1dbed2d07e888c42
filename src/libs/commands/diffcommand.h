#pragma once

#include <commands/console.h>
#include <commands/exitcode.h>

#include <string>
#include <vector>

namespace Commands {

/// Lists what changes from one set of declarations to another, and whether the other may follow the one.
/// \param arguments the name that help shows, then the command's own arguments.
ExitCode runDiff(const std::vector<std::string>& arguments, Console console);

} // namespace Commands
