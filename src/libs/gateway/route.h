#pragma once

#include <gateway/poolroute.h>
#include <utils/ids.h>

namespace Gateway {

/// Where a key's requests go.
struct Route {
    Utils::PoolId pool;
    Utils::ShardId shard;
    PoolRoute dispatchers;
};

} // namespace Gateway
