#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Commands {

/// What the operators' command line ends with.
enum class ExitCode : int {
    Ok = 0,
    /// The declarations have faults, or may not follow what is in force.
    Faults = 1,
    /// The command was called with wrong arguments.
    Usage = 2,
    /// Another configuration was accepted first; nothing was changed.
    Conflict = 3,
    /// The log could not be reached, or did not answer in time. An append may or may not take effect.
    LogUnreachable = 4,
    /// A file, a configuration or a VM that was asked for is not there.
    NotFound = 5,
    /// Some VMs lag or did not answer.
    Lagging = 6,
};

inline constexpr std::array<Utils::EnumName<ExitCode>, 7> exitCodeNames { {
    { ExitCode::Ok, "ok" },
    { ExitCode::Faults, "faults" },
    { ExitCode::Usage, "usage" },
    { ExitCode::Conflict, "conflict" },
    { ExitCode::LogUnreachable, "log_unreachable" },
    { ExitCode::NotFound, "not_found" },
    { ExitCode::Lagging, "lagging" },
} };

} // namespace Commands
