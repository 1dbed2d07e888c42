#pragma once

#include <ownership/granterstate.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <optional>

/// Determines when the grants of earlier levels are retired, that is, can no longer be in force.
namespace Ownership::Internal {

/// The time from which no grant under \a previous can keep \a shard at \a holder; nullopt while it is
/// unknown. Once the time is reached, it stays in the past.
std::optional<Utils::Instant> findRetirementTime(const GranterState& state,
    const Agreement::FormerAssignment& previous, const Utils::UpstreamId& holder,
    const Utils::ShardId& shard);

/// Whether no grant of an earlier level can keep \a shard at \a holder now.
bool arePreviousGrantsRetired(const GranterState& state, const Utils::UpstreamId& holder,
    const Utils::ShardId& shard, Utils::Instant now);

/// Whether no grant of an earlier level or of this granter can keep \a shard at \a holder now.
bool areAllGrantsRetired(const GranterState& state, const Utils::UpstreamId& holder,
    const Utils::ShardId& shard, Utils::Instant now);

/// Whether no upstream other than \a holder can hold \a shard now.
bool areOtherHoldersRetired(const GranterState& state, const Utils::UpstreamId& holder,
    const Utils::ShardId& shard, Utils::Instant now);

/// Whether no earlier granter can still send requests for \a shard to \a holder, which does not check grants.
bool isSoleSender(const GranterState& state, const Utils::UpstreamId& holder, const Utils::ShardId& shard,
    Utils::Instant now);

/// Whether no grant under \a previous can be in force any more.
bool isAssignmentRetired(
    const GranterState& state, const Agreement::FormerAssignment& previous, Utils::Instant now);

} // namespace Ownership::Internal
