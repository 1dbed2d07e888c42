#pragma once

#include <agreement/vmstart.h>
#include <ownership/granterstate.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>

/// Predicates that several parts of the granter share.
namespace Ownership::Internal {

/// Whether the explorer has disabled \a guard.
bool isWaived(const GranterState& state, Guard guard);

/// The maximum time that \a duration, measured by another clock, can take on this clock.
Utils::Duration extendByClockDrift(const GranterState& state, Utils::Duration duration);

/// Whether \a upstream checks grants.
bool checksGrants(const GranterState& state, const Utils::UpstreamId& upstream);

/// Whether \a actual is the incarnation that a record names as \a named.
bool isNamedStart(
    const GranterState& state, const Agreement::VmStart& named, const Agreement::VmStart& actual);

/// The incarnation of \a upstream that the current assignment names; 0 if it names none.
Utils::Incarnation namedIncarnation(const GranterState& state, const Utils::UpstreamId& upstream);

/// The other VM of the pair at \a level of the current assignment.
const Agreement::VmStart& findPeerVm(const GranterState& state, const GrantLevel& level);

/// Whether the named incarnation of \a upstream has responded within the suspicion timeout.
bool isAvailable(const GranterState& state, const Utils::UpstreamId& upstream, Utils::Instant now);

/// Whether \a upstream has restarted or was unresponsive for the suspicion timeout.
bool isUnavailable(const GranterState& state, const Utils::UpstreamId& upstream, Utils::Instant now);

/// The upstream that \a shard is to be granted to at this level; empty if there is none.
Utils::UpstreamId findTarget(const GranterState& state, const Utils::ShardId& shard);

} // namespace Ownership::Internal
