#pragma once

#include <ownership/grantlevel.h>
#include <utils/ids.h>

namespace Ownership {

/// Requests for \c shard are sent to \c upstream from now on.
struct ShardServed {
    Utils::ShardId shard;
    Utils::UpstreamId upstream;
    GrantLevel level;

    bool operator==(const ShardServed&) const = default;
};

} // namespace Ownership
