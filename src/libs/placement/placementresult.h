#pragma once

#include <agreement/shardassignment.h>
#include <utils/ids.h>

#include <cstddef>
#include <map>

namespace Placement {

/// Where the shards of one pool go.
struct PlacementResult {
    /// Empty when no upstream is usable.
    std::map<Utils::ShardId, Agreement::ShardAssignment> shards;
    /// Shards whose owner could not stay.
    std::size_t forcedMoves = 0;
    /// Shards moved to even the load; at most the budget.
    std::size_t balancingMoves = 0;
};

} // namespace Placement
