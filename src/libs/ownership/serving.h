#pragma once

#include <ownership/action.h>
#include <ownership/granterstate.h>
#include <ownership/servingupstream.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <optional>
#include <vector>

/// Which shards a granter passes requests for.
namespace Ownership::Internal {

/// The end of the time for which \a holder surely holds \a shard, or, when it checks no grants, for which
/// requests may be sent to it; nothing if not at all.
std::optional<Utils::Instant> servableUntil(
    const GranterState& state, const Utils::UpstreamId& holder, const Utils::ShardId& shard);

/// Brings GranterState::served up to date and reports what has changed.
void updateServedShards(GranterState& state, Utils::Instant now, std::vector<Action>& actions);

} // namespace Ownership::Internal
