#pragma once

#include <ownership/grantlevel.h>
#include <ownership/holderverdict.h>
#include <utils/ids.h>

#include <cstdint>
#include <set>

namespace Ownership {

/// An upstream's answer to a grant or a fence: the verdict and where it stands after it.
struct HolderResponse {
    HolderVerdict verdict = HolderVerdict::Accepted;
    Utils::Incarnation incarnation = 0;
    /// The holder's clock at the answer, in microseconds.
    std::int64_t clock = 0;
    /// The level below which it refuses.
    GrantLevel level;
    /// End of the lease that it holds, on its own clock; not above \c clock when it holds nothing.
    std::int64_t heldUntil = 0;
    /// Shards under that lease.
    std::set<Utils::ShardId> shards;

    bool operator==(const HolderResponse&) const = default;
};

} // namespace Ownership
