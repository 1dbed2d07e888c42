#pragma once

#include <agreement/vmstart.h>
#include <ownership/granterstate.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <optional>

/// Who attests that nobody has replaced a granter.
namespace Ownership::Internal {

/// The end of the time in which this granter may grant \a shard to \a holder; nothing if it may not at all.
std::optional<Utils::Instant> attestedUntil(
    const GranterState& state, const Utils::UpstreamId& holder, const Utils::ShardId& shard);

/// Whether this granter may grant \a shard to \a holder now.
bool isAttested(const GranterState& state, const Utils::UpstreamId& holder, const Utils::ShardId& shard,
    Utils::Instant now);

/// Whether this VM attests to \a from at \a level.
bool canAttestTo(const GranterState& state, const Agreement::VmStart& from, const GrantLevel& level);

} // namespace Ownership::Internal
