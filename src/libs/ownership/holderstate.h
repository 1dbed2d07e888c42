#pragma once

#include <ownership/grantlevel.h>
#include <utils/ids.h>

#include <cstdint>
#include <set>

namespace Ownership {

/// State of an upstream that checks grants. Lost when it restarts.
struct HolderState {
    Utils::Incarnation incarnation = 0;
    /// Grants and requests below this level are rejected.
    GrantLevel fenceLevel;
    /// Level of the lease that is held.
    GrantLevel grantedLevel;
    /// Sequence of the newest grant at \c grantedLevel.
    std::uint64_t sequence = 0;
    /// Expiry of the lease on the upstream's own clock, in microseconds.
    std::int64_t heldUntil = 0;
    std::set<Utils::ShardId> shards;

    bool operator==(const HolderState&) const = default;
};

} // namespace Ownership
