#pragma once

#include <gateway/servingentry.h>
#include <utils/ids.h>

#include <map>

namespace Gateway {

/// Control to dispatch: which shards of a pool this VM may serve now.
struct ServingChanged {
    Utils::PoolId pool;
    /// Whether this VM is the pool's granter; if not, work for the pool is refused.
    bool dispatching = false;
    /// Whether nobody has dispatched for the pool before.
    bool first = false;
    std::map<Utils::ShardId, ServingEntry> shards;
};

} // namespace Gateway
