#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Balancing {

/// What a lost connection to an upstream tells of its process.
enum class LossVerdict {
    /// It accepted a connection sooner than it could have restarted.
    Lives,
    /// It accepts no connections, and others do.
    Crashed,
    /// This VM's links may be the cause.
    Unknown,
};

inline constexpr std::array<Utils::EnumName<LossVerdict>, 3> lossVerdictNames { {
    { LossVerdict::Lives, "lives" },
    { LossVerdict::Crashed, "crashed" },
    { LossVerdict::Unknown, "unknown" },
} };

} // namespace Balancing
