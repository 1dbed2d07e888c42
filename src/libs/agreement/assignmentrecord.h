#pragma once

#include <agreement/recordheader.h>
#include <agreement/shardassignment.h>
#include <agreement/vmstart.h>
#include <utils/ids.h>

#include <map>

namespace Agreement {

/// A proposed assignment of one pool. One without upstreams and shards closes a pool that is no longer
/// declared or has no usable upstream.
struct AssignmentRecord {
    RecordHeader header;
    Utils::PoolId pool;
    /// Token of the pool's assignment that it replaces; 0 for the first.
    Utils::Offset basedOn = 0;
    VmStart dispatcher;
    /// Empty when there is no other VM.
    VmStart successor;
    std::map<Utils::UpstreamId, Utils::Incarnation> upstreams;
    std::map<Utils::ShardId, ShardAssignment> shards;

    bool operator==(const AssignmentRecord&) const = default;
};

} // namespace Agreement
