#pragma once

#include <ownership/grantlevel.h>
#include <utils/ids.h>

#include <cstdint>
#include <set>

namespace Ownership {

/// What an upstream that checks grants remembers. Lost when it restarts.
struct HolderState {
    Utils::Incarnation incarnation = 0;
    /// Everything below is refused.
    GrantLevel fenceLevel;
    /// Level of the lease held.
    GrantLevel grantedLevel;
    /// Sequence of the newest grant at \c granted.
    std::uint64_t sequence = 0;
    /// End of the lease on its own clock, in microseconds.
    std::int64_t heldUntil = 0;
    std::set<Utils::ShardId> shards;

    bool operator==(const HolderState&) const = default;
};

} // namespace Ownership
