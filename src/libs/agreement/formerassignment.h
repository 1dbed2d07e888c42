#pragma once

#include <agreement/shardassignment.h>
#include <agreement/vmstart.h>
#include <utils/ids.h>

#include <map>

namespace Agreement {

/// What an earlier assignment of a pool allowed, kept until a later dispatcher has settled: anyone named here
/// may still act on it.
struct FormerAssignment {
    Utils::Offset token = 0;
    VmStart dispatcher;
    VmStart successor;
    std::map<Utils::UpstreamId, Utils::Incarnation> upstreams;
    std::map<Utils::ShardId, ShardAssignment> shards;

    bool operator==(const FormerAssignment&) const = default;
};

} // namespace Agreement
