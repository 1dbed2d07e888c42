#pragma once

#include <commands/console.h>
#include <commands/exitcode.h>
#include <commands/logview.h>
#include <utils/time.h>

#include <tclap/CmdLine.h>
#include <tclap/ValueArg.h>

#include <optional>
#include <string>

namespace Commands::Internal {

/// The arguments of every command that reads the log.
struct LogArguments {
    explicit LogArguments(TCLAP::CmdLine& line);

    TCLAP::ValueArg<std::string> log;
    TCLAP::ValueArg<std::string> stream;
    TCLAP::ValueArg<unsigned> timeoutMs;
};

/// The log that \a arguments name; nothing, and a complaint, when they name none.
std::optional<LogView> openLog(const LogArguments& arguments, Console& console);

/// Until when a command that starts now may try.
Utils::Instant deadlineOf(const LogArguments& arguments);

/// Reads the log to its end.
/// \return the code to end with, after a complaint, when it can't be read or needs a checkpoint that is not
/// there.
std::optional<ExitCode> followLog(LogView& view, const LogArguments& arguments, Console& console);

/// The value of environment variable \a name, or \a fallback.
std::string environmentOr(const std::string& name, const std::string& fallback);

/// The IP number and port in \a text; nothing, and a complaint about \a option, when it is none.
std::optional<LogService::Endpoint> readEndpoint(
    const std::string& option, const std::string& text, Console& console);

} // namespace Commands::Internal
