#pragma once

#include <agreement/shardassignment.h>
#include <declarations/placementpolicy.h>
#include <declarations/upstream.h>
#include <utils/ids.h>

#include <map>
#include <set>

namespace Placement {

/// What the shards of one pool are placed by.
struct PlacementInput {
    /// Upstreams that may own shards: declared, not leaving, and of a known incarnation. One that is marked
    /// as leaving gets none all the same.
    std::map<Utils::UpstreamId, Declarations::Upstream> upstreams;
    /// Shards to place.
    std::set<Utils::ShardId> shards;
    /// Measured load of each shard in busy slots; one that is missing counts as the mean of the others.
    std::map<Utils::ShardId, double> loads;
    /// Where the shards are now; the owner is the upstream that holds the shard when that is known.
    std::map<Utils::ShardId, Agreement::ShardAssignment> present;
    Declarations::PlacementPolicy policy;
};

} // namespace Placement
