#pragma once

#include <ownership/granterstate.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <optional>

/// When what earlier levels allowed has come to its end.
namespace Ownership::Internal {

/// The time from which nothing that \a earlier allowed can keep \a shard at \a holder; nothing while that is
/// not known. A time that is past stays past.
std::optional<Utils::Instant> findRetirementTime(const GranterState& state,
    const Agreement::FormerAssignment& earlier, const Utils::UpstreamId& holder, const Utils::ShardId& shard);

/// Whether no earlier level can keep \a shard at \a holder now.
bool arePreviousGrantsRetired(const GranterState& state, const Utils::UpstreamId& holder,
    const Utils::ShardId& shard, Utils::Instant now);

/// Whether neither an earlier level nor this granter can have \a shard at \a holder now.
bool areAllGrantsRetired(const GranterState& state, const Utils::UpstreamId& holder,
    const Utils::ShardId& shard, Utils::Instant now);

/// Whether \a shard can be at nobody but \a holder now.
bool areOtherHoldersRetired(const GranterState& state, const Utils::UpstreamId& holder,
    const Utils::ShardId& shard, Utils::Instant now);

/// Whether no earlier granter can still send requests for \a shard to \a holder, which checks no grants.
bool isSoleSender(const GranterState& state, const Utils::UpstreamId& holder, const Utils::ShardId& shard,
    Utils::Instant now);

/// Whether all that \a earlier allowed has come to its end.
bool isAssignmentRetired(
    const GranterState& state, const Agreement::FormerAssignment& earlier, Utils::Instant now);

} // namespace Ownership::Internal
