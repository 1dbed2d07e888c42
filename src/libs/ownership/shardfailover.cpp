#include <ownership/shardfailover.h>

#include <ownership/granterrules.h>
#include <ownership/retirement.h>

namespace Ownership::Internal {

namespace {

bool holdsFromPreviousLevel(const GranterState& state, const Utils::UpstreamId& upstream,
    const Utils::ShardId& shard, Utils::Instant now)
{
    const std::map<Utils::UpstreamId, UpstreamView>::const_iterator found = state.upstreams.find(upstream);
    return found != state.upstreams.end() && found->second.heldShards.contains(shard)
        && now < found->second.heldUntil;
}

/// Whether the assignment moves \a shard away from its previous owner.
bool isShardMoved(const GranterState& state, const Utils::ShardId& shard)
{
    if (state.previousAssignments.empty())
        return false;
    const Agreement::FormerAssignment& last = state.previousAssignments.back();
    const std::map<Utils::ShardId, Agreement::ShardAssignment>::const_iterator before
        = last.shards.find(shard);
    return before != last.shards.end() && before->second.owner != state.assignment.shards.at(shard).owner;
}

/// Whether the standby holds the shard and is to keep it.
bool canStandbyKeep(const GranterState& state, const Agreement::ShardAssignment& pair,
    const Utils::ShardId& shard, Utils::Instant now)
{
    if (!isAvailable(state, pair.standby, now) || !holdsFromPreviousLevel(state, pair.standby, shard, now))
        return false;
    return !isShardMoved(state, shard) && !holdsFromPreviousLevel(state, pair.owner, shard, now);
}

bool isFailoverDue(const GranterState& state, const Agreement::ShardAssignment& pair, Utils::Instant now)
{
    return isUnavailable(state, pair.owner, now) && isAvailable(state, pair.standby, now);
}

void failOverToStandby(GranterState& state, const Agreement::ShardAssignment& pair,
    const Utils::ShardId& shard, ShardView& view, Utils::Instant now)
{
    if (canStandbyKeep(state, pair, shard, now)) {
        view.isOnStandby = true;
        return;
    }
    if (!isFailoverDue(state, pair, now))
        return;
    if (!checksGrants(state, pair.owner) && !view.ownerRequestsEndedAt.has_value())
        view.ownerRequestsEndedAt = now;
    view.isOnStandby = areAllGrantsRetired(state, pair.owner, shard, now);
}

void returnToOwner(GranterState& state, const Agreement::ShardAssignment& pair, const Utils::ShardId& shard,
    ShardView& view, Utils::Instant now)
{
    if (isUnavailable(state, pair.standby, now) && isAvailable(state, pair.owner, now)
        && areAllGrantsRetired(state, pair.standby, shard, now))
        view = ShardView();
}

} // namespace

void failOverShards(GranterState& state, Utils::Instant now)
{
    for (std::pair<const Utils::ShardId, ShardView>& entry : state.shards) {
        const Agreement::ShardAssignment& pair = state.assignment.shards.at(entry.first);
        if (pair.standby.value.empty() || entry.second.isReleased)
            continue;
        if (!entry.second.isOnStandby)
            failOverToStandby(state, pair, entry.first, entry.second, now);
        else
            returnToOwner(state, pair, entry.first, entry.second, now);
    }
}

} // namespace Ownership::Internal
