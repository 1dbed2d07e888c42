#pragma once

#include <ownership/grantlevel.h>
#include <utils/ids.h>

#include <cstdint>
#include <set>

namespace Ownership {

/// Asks an upstream to hold exactly \c shards until \c expiresAt.
struct GrantRequest {
    GrantLevel level;
    /// The start that the grant is for; any other refuses it.
    Utils::Incarnation incarnation = 0;
    /// Rises with every grant of one granter to one upstream, so that a late one is recognised.
    std::uint64_t sequence = 0;
    /// End of the lease on the holder's own clock, in microseconds.
    std::int64_t expiresAt = 0;
    std::set<Utils::ShardId> shards;

    bool operator==(const GrantRequest&) const = default;
};

} // namespace Ownership
