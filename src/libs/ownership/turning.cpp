#include <ownership/turning.h>

#include <ownership/granterrules.h>
#include <ownership/settlement.h>

namespace Ownership::Internal {

namespace {

bool holdsFromEarlier(const GranterState& state, const Utils::UpstreamId& upstream,
    const Utils::ShardId& shard, Utils::Instant now)
{
    const std::map<Utils::UpstreamId, UpstreamView>::const_iterator found = state.upstreams.find(upstream);
    return found != state.upstreams.end() && found->second.held.contains(shard)
        && now < found->second.heldUntil;
}

/// Whether the record means to move \a shard away from whoever held it before.
bool movesShard(const GranterState& state, const Utils::ShardId& shard)
{
    if (state.earlier.empty())
        return false;
    const Agreement::FormerAssignment& last = state.earlier.back();
    const std::map<Utils::ShardId, Agreement::ShardAssignment>::const_iterator before
        = last.shards.find(shard);
    return before != last.shards.end() && before->second.owner != state.assignment.shards.at(shard).owner;
}

/// The standby holds the shard and is to keep it.
bool standbyKeeps(const GranterState& state, const Agreement::ShardAssignment& pair,
    const Utils::ShardId& shard, Utils::Instant now)
{
    if (!available(state, pair.standby, now) || !holdsFromEarlier(state, pair.standby, shard, now))
        return false;
    return !movesShard(state, shard) && !holdsFromEarlier(state, pair.owner, shard, now);
}

bool ownerIsLost(const GranterState& state, const Agreement::ShardAssignment& pair, Utils::Instant now)
{
    return unavailable(state, pair.owner, now) && available(state, pair.standby, now);
}

void turnToStandby(GranterState& state, const Agreement::ShardAssignment& pair, const Utils::ShardId& shard,
    ShardView& view, Utils::Instant now)
{
    if (standbyKeeps(state, pair, shard, now)) {
        view.turned = true;
        return;
    }
    if (!ownerIsLost(state, pair, now))
        return;
    if (!checksGrants(state, pair.owner) && !view.leftAt.has_value())
        view.leftAt = now;
    view.turned = clear(state, pair.owner, shard, now);
}

void turnBack(GranterState& state, const Agreement::ShardAssignment& pair, const Utils::ShardId& shard,
    ShardView& view, Utils::Instant now)
{
    if (unavailable(state, pair.standby, now) && available(state, pair.owner, now)
        && clear(state, pair.standby, shard, now))
        view = ShardView();
}

} // namespace

void turnShards(GranterState& state, Utils::Instant now)
{
    for (std::pair<const Utils::ShardId, ShardView>& entry : state.shards) {
        const Agreement::ShardAssignment& pair = state.assignment.shards.at(entry.first);
        if (pair.standby.value.empty() || entry.second.released)
            continue;
        if (!entry.second.turned)
            turnToStandby(state, pair, entry.first, entry.second, now);
        else
            turnBack(state, pair, entry.first, entry.second, now);
    }
}

} // namespace Ownership::Internal
