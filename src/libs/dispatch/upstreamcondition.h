#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Dispatch {

/// What is known of an upstream's readiness for new work.
enum class UpstreamCondition {
    Usable,
    /// Just started: it gets little work until some is completed.
    Cold,
    /// It asked for less work: none until a backoff has passed, then one at a time until one is completed.
    Shedding,
    /// Planned to leave: new work only for a short grace, while its shards move.
    Leaving,
    /// It refuses new work.
    Draining,
    /// It can't be connected to.
    Unreachable,
};

inline constexpr std::array<Utils::EnumName<UpstreamCondition>, 6> upstreamConditionNames { {
    { UpstreamCondition::Usable, "usable" },
    { UpstreamCondition::Cold, "cold" },
    { UpstreamCondition::Shedding, "shedding" },
    { UpstreamCondition::Leaving, "leaving" },
    { UpstreamCondition::Draining, "draining" },
    { UpstreamCondition::Unreachable, "unreachable" },
} };

} // namespace Dispatch
