#include <placement/balanceload.h>
#include <placement/choosestandbys.h>
#include <placement/loadtable.h>
#include <placement/placeshards.h>

#include <algorithm>

namespace Placement {

namespace Internal {

/// Keeps every owner that can stay and promotes standbys of those that can't; gives the shards left without
/// one.
std::set<Utils::ShardId> keepOwners(LoadTable& table, const PlacementInput& input)
{
    std::set<Utils::ShardId> homeless;
    for (const Utils::ShardId& shard : input.shards) {
        const std::map<Utils::ShardId, Agreement::ShardAssignment>::const_iterator present
            = input.present.find(shard);
        const bool isPlaced = present != input.present.end();
        if (isPlaced && table.capacities.contains(present->second.owner))
            addShard(table, present->second.owner, shard);
        else if (isPlaced && table.capacities.contains(present->second.standby))
            addShard(table, present->second.standby, shard);
        else
            homeless.insert(shard);
    }
    return homeless;
}

std::size_t countForced(const PlacementInput& input, const LoadTable& table)
{
    return static_cast<std::size_t>(std::count_if(input.present.begin(), input.present.end(),
        [&](const std::pair<const Utils::ShardId, Agreement::ShardAssignment>& entry) {
            return input.shards.contains(entry.first) && !table.capacities.contains(entry.second.owner);
        }));
}

void fillOwners(PlacementResult& result, const LoadTable& table)
{
    for (const std::pair<const Utils::UpstreamId, std::set<Utils::ShardId>>& entry : table.owned) {
        for (const Utils::ShardId& shard : entry.second)
            result.shards[shard].owner = entry.first;
    }
}

} // namespace Internal

PlacementResult placeShards(const PlacementInput& input)
{
    PlacementResult result;
    Internal::LoadTable table = Internal::makeLoadTable(input);
    if (table.capacities.empty())
        return result;
    const std::set<Utils::ShardId> homeless = Internal::keepOwners(table, input);
    Internal::addHeaviestFirst(table, homeless);
    result.forcedMoves = Internal::countForced(input, table);
    result.balancingMoves = Internal::balanceLoad(table, input);
    Internal::fillOwners(result, table);
    Internal::chooseStandbys(result, table, input);
    return result;
}

} // namespace Placement
