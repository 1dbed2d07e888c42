#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Ownership {

/// What a VM is to a pool's current assignment.
enum class GranterRole {
    /// Not named in it, or named with another start.
    NotNamed,
    /// The successor that attests to the dispatcher.
    Standby,
    /// Grants at its level.
    Granting,
    /// Has granted, or could have, and never will again on this assignment.
    Stopped,
};

inline constexpr std::array<Utils::EnumName<GranterRole>, 4> granterRoleNames { {
    { GranterRole::NotNamed, "bystander" },
    { GranterRole::Standby, "standby" },
    { GranterRole::Granting, "granting" },
    { GranterRole::Stopped, "stopped" },
} };

} // namespace Ownership
