#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Routing {

/// Effect of a report on the upstream directory.
enum class DirectoryChange {
    /// The report is out of date, or differs from the known one only in its sequence number.
    None,
    Added,
    /// The upstream restarted under the same id and has lost its former state.
    Restarted,
    StartedDraining,
    /// The upstream is ready again after draining.
    StoppedDraining,
    Removed,
};

inline constexpr std::array<Utils::EnumName<DirectoryChange>, 6> directoryChangeNames { {
    { DirectoryChange::None, "none" },
    { DirectoryChange::Added, "added" },
    { DirectoryChange::Restarted, "reborn" },
    { DirectoryChange::StartedDraining, "started_draining" },
    { DirectoryChange::StoppedDraining, "returned" },
    { DirectoryChange::Removed, "removed" },
} };

} // namespace Routing
