#include <agreement/assignmentrules.h>

#include <algorithm>
#include <string>

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

} // namespace Internal

std::set<Utils::ShardId> shardsOfPool(
    const Declarations::Configuration& configuration, const Utils::PoolId& pool)
{
    std::set<Utils::ShardId> shards;
    for (const std::pair<const Utils::KeyRangeId, Declarations::KeyRange>& entry : configuration.keyRanges) {
        if (entry.second.pool != pool)
            continue;
        for (unsigned bucket = 0; bucket < entry.second.shards; ++bucket)
            shards.insert(Utils::ShardId { entry.first.value + "/" + std::to_string(bucket) });
    }
    return shards;
}

bool assignmentIsValid(const Declarations::Configuration& configuration, const AssignmentRecord& record)
{
    if (!Internal::dispatchersAreValid(record))
        return false;
    const std::map<Utils::PoolId, Declarations::UpstreamPool>::const_iterator pool
        = configuration.pools.find(record.pool);
    const bool canServe = pool != configuration.pools.end() && Internal::hasUsableUpstream(pool->second);
    if (!canServe)
        return record.upstreams.empty() && record.shards.empty();
    if (!Internal::upstreamsAreValid(pool->second, record) || !Internal::holdersAreValid(record))
        return false;
    return Internal::shardsMatch(shardsOfPool(configuration, record.pool), record);
}

} // namespace Agreement
