#include <placement/choosestandbys.h>
#include <placement/loadtable.h>
#include <placement/placementconstants.h>
#include <placement/placeshards.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace Placement {

namespace Internal {

/// A balancing move from the worst upstream.
struct Move {
    Utils::ShardId shard;
    Utils::UpstreamId to;
    /// Higher load over capacity of the two upstreams afterwards.
    double ratio = std::numeric_limits<double>::infinity();
};

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

/// The lowest worst load over capacity that placing all shards anew would reach.
double lowestWorstRatio(const PlacementInput& input)
{
    LoadTable table = makeLoadTable(input);
    addHeaviestFirst(table, input.shards);
    return ratioOf(table, worstUpstream(table));
}

/// Worst load over capacity that is good enough; a high weight of churn against load widens it.
double targetRatio(const PlacementInput& input)
{
    const double loadWeight = std::max(input.policy.loadWeight, std::numeric_limits<double>::min());
    const double slack = balanceSlack * std::max(input.policy.churnWeight, 0.0) / loadWeight;
    return lowestWorstRatio(input) * (1 + slack);
}

std::size_t moveBudget(const PlacementInput& input)
{
    const double part = std::clamp(input.policy.moveBudget, 0.0, 1.0);
    return static_cast<std::size_t>(std::ceil(part * static_cast<double>(input.shards.size())));
}

/// The move off \a worst that leaves the lower worst load; one without a target when none lowers it.
Move bestMove(const LoadTable& table, const Utils::UpstreamId& worst)
{
    Move best;
    const double before = ratioOf(table, worst);
    for (const Utils::ShardId& shard : table.owned.at(worst)) {
        const double weight = table.weights.at(shard);
        const Utils::UpstreamId to = lightestUpstream(table, worst, weight);
        if (to.value.empty())
            return best;
        const double after = std::max(ratioOf(table, worst, -weight), ratioOf(table, to, weight));
        if (after < before && after < best.ratio)
            best = { shard, to, after };
    }
    return best;
}

std::size_t balance(LoadTable& table, const PlacementInput& input)
{
    const double target = targetRatio(input);
    const std::size_t budget = moveBudget(input);
    std::size_t moves = 0;
    while (moves < budget) {
        const Utils::UpstreamId worst = worstUpstream(table);
        if (ratioOf(table, worst) <= target)
            break;
        const Move move = bestMove(table, worst);
        if (move.to.value.empty())
            break;
        removeShard(table, worst, move.shard);
        addShard(table, move.to, move.shard);
        ++moves;
    }
    return moves;
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
    result.balancingMoves = Internal::balance(table, input);
    Internal::fillOwners(result, table);
    Internal::chooseStandbys(result, table, input);
    return result;
}

} // namespace Placement
