#pragma once

#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>
#include <set>

namespace Ownership {

/// A grant that was sent and may be in force, with or without a response.
struct SentGrant {
    std::uint64_t sequence = 0;
    std::set<Utils::ShardId> shards;
    /// Expiry on the holder's clock, in microseconds.
    std::int64_t expiresAt = 0;
    /// Latest possible expiry on the granter's clock.
    Utils::Instant latestExpiry {};

    bool operator==(const SentGrant&) const = default;
};

} // namespace Ownership
