#pragma once

#include <ownership/grantlevel.h>
#include <ownership/holderverdict.h>
#include <utils/ids.h>

#include <cstdint>
#include <set>

namespace Ownership {

/// Response of an upstream to a grant or a fence: the verdict and the resulting state.
struct HolderResponse {
    HolderVerdict verdict = HolderVerdict::Accepted;
    Utils::Incarnation incarnation = 0;
    /// The holder's clock when it responded, in microseconds.
    std::int64_t clock = 0;
    /// The level below which the upstream rejects grants and requests.
    GrantLevel level;
    /// Expiry of the lease on the upstream's own clock; not later than \c clock if it holds nothing.
    std::int64_t heldUntil = 0;
    /// Shards covered by that lease.
    std::set<Utils::ShardId> shards;

    bool operator==(const HolderResponse&) const = default;
};

} // namespace Ownership
