#pragma once

#include <ownership/sentgrant.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace Ownership {

/// What a granter knows about one upstream at its level.
struct UpstreamView {
    /// The incarnation that responded last; 0 before the first response.
    Utils::Incarnation incarnation = 0;
    /// Whether that incarnation has responded at the granter's level.
    bool isFenced = false;
    /// When the first response at the granter's level arrived, from any incarnation.
    std::optional<Utils::Instant> fencedAt;
    /// Newest known clock of the upstream, when it was requested and when the response arrived.
    std::int64_t holderClock = 0;
    Utils::Instant queriedAt {};
    Utils::Instant respondedAt {};
    /// Send time of the newest request that the named incarnation responded to at the granter's level.
    std::optional<Utils::Instant> lastAttestedQueryAt;
    /// Shards that the upstream held under an earlier level according to its first response, and the latest
    /// expiry of that lease.
    std::set<Utils::ShardId> heldShards;
    Utils::Instant heldUntil {};
    /// Newest sequence sent, and newest sequence accepted.
    std::uint64_t lastSentSequence = 0;
    std::uint64_t acknowledgedSequence = 0;
    /// Grants that may be in force, oldest first.
    std::vector<SentGrant> sentGrants;
    Utils::Instant nextQueryAt {};

    bool operator==(const UpstreamView&) const = default;
};

} // namespace Ownership
