#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Granting {

/// What came of a GrantAction.
enum class GrantOutcome {
    Accepted,
    /// The upstream has seen a higher token.
    FencedOff,
    /// The connection was refused or reset before anything was sent: no process listens there.
    ConnectionRefused,
    /// No answer: the call may have taken effect or may yet.
    Unknown,
};

inline constexpr std::array<Utils::EnumName<GrantOutcome>, 4> grantOutcomeNames { {
    { GrantOutcome::Accepted, "accepted" },
    { GrantOutcome::FencedOff, "fenced_off" },
    { GrantOutcome::ConnectionRefused, "connection_refused" },
    { GrantOutcome::Unknown, "unknown" },
} };

} // namespace Granting
