#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Declarations {

/// How an object differs between two configurations.
enum class ChangeKind {
    Added,
    Removed,
    Changed,
};

inline constexpr std::array<Utils::EnumName<ChangeKind>, 3> changeKindNames { {
    { ChangeKind::Added, "added" },
    { ChangeKind::Removed, "removed" },
    { ChangeKind::Changed, "changed" },
} };

} // namespace Declarations
