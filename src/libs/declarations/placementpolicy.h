#pragma once

namespace Declarations {

/// What placement weighs for a service.
struct PlacementPolicy {
    /// Weight of an even load.
    double loadWeight = 1;
    /// Weight of a shard's change of owner.
    double churnWeight = 1;
    /// Largest part of a pool's shards, 0..1, that one balancing round may move.
    double moveBudget = 0.1;

    bool operator==(const PlacementPolicy&) const = default;
};

} // namespace Declarations
