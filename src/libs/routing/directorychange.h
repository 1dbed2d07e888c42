#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Routing {

/// What a report did to the directory.
enum class DirectoryChange {
    /// Older than what is known, or nothing new but its sequence.
    None,
    Added,
    /// The same id started again and holds nothing of before.
    Restarted,
    StartedDraining,
    /// Reports ready again after draining.
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
