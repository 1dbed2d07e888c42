#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Balancing {

/// Whether a VM can open connections to upstreams.
enum class ReachState {
    Reaching,
    /// Several upstreams have failed and none was reached since; probes are under way.
    Suspected,
    /// The probes failed as well: the VM's own links are the likely cause.
    Lost,
};

inline constexpr std::array<Utils::EnumName<ReachState>, 3> reachStateNames { {
    { ReachState::Reaching, "reaching" },
    { ReachState::Suspected, "suspected" },
    { ReachState::Lost, "lost" },
} };

} // namespace Balancing
