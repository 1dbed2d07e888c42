#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Ownership {

/// Result of the checks that an upstream makes on a grant, a fence or a request.
enum class HolderVerdict {
    Accepted,
    StaleLevel,
    StaleSequence,
    WrongIncarnation,
    AlreadyExpired,
    NotHeld,
};

inline constexpr std::array<Utils::EnumName<HolderVerdict>, 6> holderVerdictNames { {
    { HolderVerdict::Accepted, "accepted" },
    { HolderVerdict::StaleLevel, "stale_level" },
    { HolderVerdict::StaleSequence, "stale_sequence" },
    { HolderVerdict::WrongIncarnation, "wrong_incarnation" },
    { HolderVerdict::AlreadyExpired, "already_expired" },
    { HolderVerdict::NotHeld, "not_held" },
} };

} // namespace Ownership
