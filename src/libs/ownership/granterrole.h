#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Ownership {

/// Role of a VM in the current assignment of a pool.
enum class GranterRole {
    /// The assignment does not name the VM, or names another incarnation of it.
    NotNamed,
    /// The successor, which attests to the dispatcher.
    Standby,
    /// The VM grants at its level.
    Granting,
    /// The VM has granted, or was allowed to, and never grants again on this assignment.
    Stopped,
};

inline constexpr std::array<Utils::EnumName<GranterRole>, 4> granterRoleNames { {
    { GranterRole::NotNamed, "bystander" },
    { GranterRole::Standby, "standby" },
    { GranterRole::Granting, "granting" },
    { GranterRole::Stopped, "stopped" },
} };

} // namespace Ownership
