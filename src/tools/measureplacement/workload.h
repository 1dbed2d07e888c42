#pragma once

#include "poolsize.h"

#include <placement/placementinput.h>

#include <cstdint>
#include <map>
#include <vector>

namespace MeasurePlacement {

/// Keys with loads that fall off as 1/rank, hashed to the shards of one pool.
struct Workload {
    std::vector<Utils::ShardId> shardOfKey;
    /// Load of each key in busy slots; the sum fills part of the pool.
    std::vector<double> keyLoads;
};

/// A pool of \a size without owners, its upstreams spread over zones.
Placement::PlacementInput makePool(const PoolSize& size);

Workload makeWorkload(const PoolSize& size, std::uint64_t seed);

/// Gives the loads of the \a count hottest keys to other keys.
void moveHotKeys(Workload& workload, std::size_t count, std::uint64_t seed);

/// Load of each shard.
std::map<Utils::ShardId, double> shardLoads(const Workload& workload);

/// Keys of each shard.
std::map<Utils::ShardId, double> shardKeys(const Workload& workload);

} // namespace MeasurePlacement
