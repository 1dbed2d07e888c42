#pragma once

#include <agreement/formerassignment.h>
#include <agreement/shardassignment.h>
#include <agreement/vmstart.h>
#include <utils/ids.h>

#include <map>
#include <vector>

namespace Agreement {

/// The agreed assignment of one pool.
struct PoolAssignment {
    Utils::PoolId pool;
    /// Offset of the accepted record: the fencing token.
    Utils::Offset token = 0;
    VmStart dispatcher;
    /// Takes over from the dispatcher without the log.
    VmStart successor;
    /// The upstream starts that may hold grants; a restarted upstream holds nothing until it is named anew.
    std::map<Utils::UpstreamId, Utils::Incarnation> upstreams;
    std::map<Utils::ShardId, ShardAssignment> shards;
    /// Earlier assignments that are not settled yet, oldest first.
    std::vector<FormerAssignment> formers;
    /// Token of the first assignment that the pool ever had.
    Utils::Offset first = 0;

    bool operator==(const PoolAssignment&) const = default;
};

} // namespace Agreement
