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
    /// The start that answered last; 0 before the first answer.
    Utils::Incarnation incarnation = 0;
    /// Whether that start has answered at the granter's level.
    bool isFenced = false;
    /// When the first answer at the granter's level arrived, from whichever start.
    std::optional<Utils::Instant> fencedAt;
    /// Newest clock that it showed, when that was asked and when the answer arrived.
    std::int64_t holderClock = 0;
    Utils::Instant queriedAt {};
    Utils::Instant respondedAt {};
    /// Latest asking that the named start answered at the granter's level.
    std::optional<Utils::Instant> lastAttestedQueryAt;
    /// What it held under an earlier level, as its first answer said, and the latest end of that.
    std::set<Utils::ShardId> heldShards;
    Utils::Instant heldUntil {};
    /// Newest sequence sent, and newest accepted.
    std::uint64_t lastSentSequence = 0;
    std::uint64_t acknowledgedSequence = 0;
    /// Grants that may be in force, oldest first.
    std::vector<SentGrant> sentGrants;
    Utils::Instant nextQueryAt {};

    bool operator==(const UpstreamView&) const = default;
};

} // namespace Ownership
