#include <agreement/assignmentrules.h>
#include <agreement/rangerules.h>

#include <algorithm>
#include <set>

namespace Agreement {

namespace Internal {

bool dispatchersAreValid(const AssignmentRecord& record)
{
    if (record.dispatcher.vm.value.empty() || record.dispatcher.incarnation == 0)
        return false;
    if (record.successor == VmStart {})
        return true;
    if (record.successor.vm.value.empty() || record.successor.incarnation == 0)
        return false;
    return record.successor.vm != record.dispatcher.vm;
}

bool hasUsableUpstream(const Declarations::UpstreamPool& pool)
{
    return std::any_of(pool.upstreams.begin(), pool.upstreams.end(),
        [](const std::pair<const Utils::UpstreamId, Declarations::Upstream>& entry) {
            return !entry.second.leaving;
        });
}

bool upstreamsAreValid(const Declarations::UpstreamPool& pool, const AssignmentRecord& record)
{
    for (const std::pair<const Utils::UpstreamId, Utils::Incarnation>& entry : record.upstreams) {
        const std::map<Utils::UpstreamId, Declarations::Upstream>::const_iterator declared
            = pool.upstreams.find(entry.first);
        if (declared == pool.upstreams.end() || declared->second.leaving)
            return false;
        if (entry.second == 0)
            return false;
    }
    return true;
}

bool holdersAreValid(const AssignmentRecord& record)
{
    for (const std::pair<const Utils::ShardId, ShardAssignment>& entry : record.shards) {
        const ShardAssignment& shard = entry.second;
        if (!record.upstreams.contains(shard.owner))
            return false;
        if (shard.standby.value.empty())
            continue;
        if (shard.standby == shard.owner || !record.upstreams.contains(shard.standby))
            return false;
    }
    return true;
}

bool shardsMatch(const std::set<Utils::ShardId>& declared, const AssignmentRecord& record)
{
    return std::equal(declared.begin(), declared.end(), record.shards.begin(), record.shards.end(),
        [](const Utils::ShardId& id, const std::pair<const Utils::ShardId, ShardAssignment>& entry) {
            return id == entry.first;
        });
}

bool placesAreValid(const LogState& state, const AssignmentRecord& record)
{
    const std::map<Utils::PoolId, Declarations::UpstreamPool>::const_iterator pool
        = state.configuration->pools.find(record.pool);
    const bool canServe = pool != state.configuration->pools.end() && hasUsableUpstream(pool->second);
    if (!canServe)
        return record.upstreams.empty() && record.shards.empty();
    if (!upstreamsAreValid(pool->second, record) || !holdersAreValid(record))
        return false;
    return shardsMatch(assignableShards(state, record.pool), record);
}

} // namespace Internal

bool assignmentIsValid(const LogState& state, const AssignmentRecord& record)
{
    if (!state.configuration)
        return false;
    return Internal::dispatchersAreValid(record) && Internal::placesAreValid(state, record);
}

bool assignmentFits(const LogState& state, const Utils::PoolId& pool)
{
    const std::map<Utils::PoolId, PoolAssignment>::const_iterator present
        = state.agreed.assignments.find(pool);
    if (present == state.agreed.assignments.end())
        return !state.configuration || !state.configuration->pools.contains(pool);
    AssignmentRecord record;
    record.pool = pool;
    record.upstreams = present->second.upstreams;
    record.shards = present->second.shards;
    return state.configuration && Internal::placesAreValid(state, record);
}

} // namespace Agreement
