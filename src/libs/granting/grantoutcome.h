#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Granting {

/// Outcome of a GrantAction.
enum class GrantOutcome {
    Accepted,
    /// The upstream has seen a higher token.
    FencedOff,
    /// The connection was refused or reset before anything was sent: no process listens there.
    ConnectionRefused,
    /// No response: the call may have taken effect or may still do so.
    Unknown,
};

inline constexpr std::array<Utils::EnumName<GrantOutcome>, 4> grantOutcomeNames { {
    { GrantOutcome::Accepted, "accepted" },
    { GrantOutcome::FencedOff, "fenced_off" },
    { GrantOutcome::ConnectionRefused, "connection_refused" },
    { GrantOutcome::Unknown, "unknown" },
} };

} // namespace Granting
