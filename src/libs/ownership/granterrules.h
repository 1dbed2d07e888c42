#pragma once

#include <agreement/vmstart.h>
#include <ownership/granterstate.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>

/// Small predicates that the parts of the granter share.
namespace Ownership::Internal {

/// Whether the explorer has left \a guard out.
bool isWaived(const GranterState& state, Guard guard);

/// \a duration of another clock, at the longest on this one.
Utils::Duration extendByClockDrift(const GranterState& state, Utils::Duration duration);

/// Whether \a upstream checks grants.
bool checksGrants(const GranterState& state, const Utils::UpstreamId& upstream);

/// Whether \a actual is the start that a record names as \a named.
bool isNamedStart(
    const GranterState& state, const Agreement::VmStart& named, const Agreement::VmStart& actual);

/// The start of \a upstream that the current assignment names; 0 if it names none.
Utils::Incarnation namedIncarnation(const GranterState& state, const Utils::UpstreamId& upstream);

/// The other VM of the pair at \a level of the current assignment.
const Agreement::VmStart& findPeerVm(const GranterState& state, const GrantLevel& level);

/// The named start of \a upstream has answered and not fallen silent.
bool isAvailable(const GranterState& state, const Utils::UpstreamId& upstream, Utils::Instant now);

/// \a upstream has restarted, or was silent for the suspicion time.
bool isUnavailable(const GranterState& state, const Utils::UpstreamId& upstream, Utils::Instant now);

/// The upstream that \a shard is meant for at this level; empty when there is none.
Utils::UpstreamId findTarget(const GranterState& state, const Utils::ShardId& shard);

} // namespace Ownership::Internal
