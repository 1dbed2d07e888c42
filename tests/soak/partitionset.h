#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Soak {

/// Which VMs a partition cuts from the upstreams.
enum class PartitionSet { Half, AllButOne, All, Leader };

inline constexpr std::array<Utils::EnumName<PartitionSet>, 4> partitionSetNames { {
    { PartitionSet::Half, "half" },
    { PartitionSet::AllButOne, "all_but_one" },
    { PartitionSet::All, "all" },
    { PartitionSet::Leader, "leader" },
} };

} // namespace Soak
