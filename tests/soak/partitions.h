#pragma once

#include <soak/world.h>

namespace Soak {

/// Cuts the VMs of \a set from all upstreams for \a length, unless a partition lasts.
void startPartition(World& world, LinkState state, PartitionSet set, std::chrono::milliseconds length);

/// Notes in \a record, which is about to be sent, how its VM is affected by the last partition.
void notePhase(const World& world, RequestRecord& record);

/// Measures how late the soak's own thread runs.
void watchLag(World& world);

} // namespace Soak
