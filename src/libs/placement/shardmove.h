#pragma once

#include <utils/ids.h>

namespace Placement::Internal {

/// A balancing move of one shard.
struct ShardMove {
    Utils::ShardId shard;
    Utils::UpstreamId from;
    Utils::UpstreamId to;
    /// Higher load over capacity of the two upstreams afterwards.
    double ratio = 0;
};

} // namespace Placement::Internal
