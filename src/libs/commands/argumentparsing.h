#pragma once

#include <commands/console.h>
#include <commands/exitcode.h>

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

namespace Commands::Internal {

/// Parses \a arguments, the first being the name that help shows.
/// \return the code to end with when the command is not to run: after help, or on wrong arguments.
std::optional<ExitCode> parseArguments(
    TCLAP::CmdLine& line, const std::vector<std::string>& arguments, Console& console);

} // namespace Commands::Internal
