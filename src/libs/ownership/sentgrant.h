#pragma once

#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>
#include <set>

namespace Ownership {

/// A grant that was sent, answered or not, and may be in force.
struct SentGrant {
    std::uint64_t sequence = 0;
    std::set<Utils::ShardId> shards;
    /// End on the holder's clock, in microseconds.
    std::int64_t expiresAt = 0;
    /// Latest end on the granter's clock.
    Utils::Instant latestExpiry {};

    bool operator==(const SentGrant&) const = default;
};

} // namespace Ownership
