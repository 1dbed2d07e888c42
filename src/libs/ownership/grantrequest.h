#pragma once

#include <ownership/grantlevel.h>
#include <utils/ids.h>

#include <cstdint>
#include <set>

namespace Ownership {

/// Grants exactly \c shards to an upstream until \c expiresAt.
struct GrantRequest {
    GrantLevel level;
    /// The incarnation that the grant is for; any other rejects it.
    Utils::Incarnation incarnation = 0;
    /// Increases with every grant from one granter to one upstream, so that the upstream detects grants that
    /// arrive late.
    std::uint64_t sequence = 0;
    /// Expiry of the lease on the holder's own clock, in microseconds.
    std::int64_t expiresAt = 0;
    std::set<Utils::ShardId> shards;

    bool operator==(const GrantRequest&) const = default;
};

} // namespace Ownership
