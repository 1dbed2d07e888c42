#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Routing {

/// Whether requests wait on a VM until upstreams have room for them.
enum class WorkQueueMode {
    On,
    Off,
    /// For services whose few slots many VMs share.
    Auto,
};

inline constexpr std::array<Utils::EnumName<WorkQueueMode>, 3> workQueueModeNames { {
    { WorkQueueMode::On, "on" },
    { WorkQueueMode::Off, "off" },
    { WorkQueueMode::Auto, "auto" },
} };

} // namespace Routing
