#pragma once

#include <utils/ids.h>

namespace Agreement {

/// Where one shard belongs: its owner, and the standby that it may turn to without the log.
struct ShardAssignment {
    Utils::UpstreamId owner;
    /// Empty in a pool with one usable upstream.
    Utils::UpstreamId standby;

    bool operator==(const ShardAssignment&) const = default;
};

} // namespace Agreement
