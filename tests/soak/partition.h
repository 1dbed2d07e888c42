#pragma once

#include <soak/linkstate.h>
#include <soak/partitionset.h>
#include <soak/vmprocess.h>

#include <chrono>
#include <optional>
#include <vector>

namespace Soak {

/// Some VMs that reach no upstream for a while, though callers, the store and other VMs reach them.
struct Partition {
    LinkState state = LinkState::Hanging;
    PartitionSet set = PartitionSet::Half;
    /// Whether a VM is cut, by its index.
    std::vector<bool> vms;
    Instant from {};
    std::optional<Instant> healedAt;
    /// How late the soak's own thread ran during the partition and shortly after.
    std::chrono::milliseconds maxLag {};
};

} // namespace Soak
