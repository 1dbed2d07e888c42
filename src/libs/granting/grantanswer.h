#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Granting {

/// What came of a GrantAction.
enum class GrantAnswer {
    Accepted,
    /// The upstream has seen a higher token.
    FencedOff,
    /// The connection was refused or reset before anything was sent: no process listens there.
    ConnectionRefused,
    /// No answer: the call may have taken effect or may yet.
    Unknown,
};

inline constexpr std::array<Utils::EnumName<GrantAnswer>, 4> grantAnswerNames { {
    { GrantAnswer::Accepted, "accepted" },
    { GrantAnswer::FencedOff, "fenced_off" },
    { GrantAnswer::ConnectionRefused, "connection_refused" },
    { GrantAnswer::Unknown, "unknown" },
} };

} // namespace Granting
