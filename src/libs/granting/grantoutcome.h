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
    /// No connection was established in time: nothing was sent.
    NotSent,
    /// No response: the call may have taken effect or may still do so.
    Unknown,
};

inline constexpr std::array<Utils::EnumName<GrantOutcome>, 5> grantOutcomeNames { {
    { GrantOutcome::Accepted, "accepted" },
    { GrantOutcome::FencedOff, "fenced_off" },
    { GrantOutcome::ConnectionRefused, "connection_refused" },
    { GrantOutcome::NotSent, "not_sent" },
    { GrantOutcome::Unknown, "unknown" },
} };

} // namespace Granting
