#pragma once

#include <dispatch/action.h>
#include <dispatch/dispatchstate.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <optional>
#include <vector>

/// Moves of shards from one upstream to another: the new owner gets no work of a shard while the former one
/// still runs some of it.
namespace Dispatch::Internal {

/// Whether another upstream than \a upstream still runs works of \a shard.
bool runsElsewhere(
    const DispatchState& state, const Utils::ShardId& shard, const Utils::UpstreamId& upstream);

/// Puts \a shard at \a upstream at once, or at none, and its waiting works with it.
void putShard(DispatchState& state, const Utils::ShardId& shard,
    const std::optional<Utils::UpstreamId>& upstream, Utils::Instant now, std::vector<Action>& actions);

/// Places the shards whose former upstream has finished, or has been waited for long enough.
void completeMoves(DispatchState& state, Utils::Instant now, std::vector<Action>& actions);

/// When a wait for a former upstream ends next; the far future when there is none.
Utils::Instant nextMove(const DispatchState& state);

} // namespace Dispatch::Internal
