#pragma once

#include <agreement/vmstart.h>
#include <ownership/granterstate.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <optional>

/// Decides who attests that no other granter has superseded this one.
namespace Ownership::Internal {

/// The end of the period in which this granter may grant \a shard to \a holder; nullopt if it may not grant
/// it.
std::optional<Utils::Instant> attestedUntil(
    const GranterState& state, const Utils::UpstreamId& holder, const Utils::ShardId& shard);

/// Whether this granter may grant \a shard to \a holder now.
bool isAttested(const GranterState& state, const Utils::UpstreamId& holder, const Utils::ShardId& shard,
    Utils::Instant now);

/// Whether this VM may attest to the granter \a from at \a level.
bool canAttestTo(const GranterState& state, const Agreement::VmStart& from, const GrantLevel& level);

} // namespace Ownership::Internal
