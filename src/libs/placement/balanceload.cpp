#include <placement/balanceload.h>
#include <placement/loadtargets.h>
#include <placement/placementconstants.h>
#include <placement/shardmove.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace Placement::Internal {

namespace {

/// Part of the load that may go uneven; a high weight of churn against load widens it.
double slackOf(const Declarations::PlacementPolicy& policy)
{
    const double loadWeight = std::max(policy.loadWeight, std::numeric_limits<double>::min());
    return balanceSlack * std::max(policy.churnWeight, 0.0) / loadWeight;
}

/// First step: the loads that placing all shards anew would reach, and the slack.
LoadTargets makeTargets(const PlacementInput& input)
{
    LoadTable table = makeLoadTable(input);
    addHeaviestFirst(table, input.shards);
    const double slack = slackOf(input.policy);
    LoadTargets targets;
    for (const Utils::UpstreamId& upstream : upstreamsByRatio(table)) {
        targets.upper.push_back(ratioOf(table, upstream) * (1 + slack));
        targets.lower = ratioOf(table, upstream) * std::max(1 - slack, 0.0);
    }
    return targets;
}

std::size_t moveBudget(const PlacementInput& input)
{
    const double part = std::clamp(input.policy.moveBudget, 0.0, 1.0);
    return static_cast<std::size_t>(std::ceil(part * static_cast<double>(input.shards.size())));
}

/// The move from \a from that leaves the lower worst load of the two, to \a to or, when that is empty, to
/// wherever the shard weighs least; nothing when none lowers it.
std::optional<ShardMove> bestMove(
    const LoadTable& table, const Utils::UpstreamId& from, const Utils::UpstreamId& to)
{
    std::optional<ShardMove> best;
    const double before = ratioOf(table, from);
    for (const Utils::ShardId& shard : table.owned.at(from)) {
        const double weight = table.weights.at(shard);
        const Utils::UpstreamId target = to.value.empty() ? lightestUpstream(table, from, weight) : to;
        if (target.value.empty() || target == from)
            return best;
        const double after = std::max(ratioOf(table, from, -weight), ratioOf(table, target, weight));
        if (after < before && (!best || after < best->ratio))
            best = ShardMove { shard, from, target, after };
    }
    return best;
}

std::optional<ShardMove> moveOffOverloaded(
    const LoadTable& table, const LoadTargets& targets, const std::vector<Utils::UpstreamId>& order)
{
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        if (ratioOf(table, order[rank]) <= targets.upper[rank])
            continue;
        std::optional<ShardMove> move = bestMove(table, order[rank], {});
        if (move)
            return move;
    }
    return std::nullopt;
}

/// Fills an upstream that has far less than it could, as a new one.
std::optional<ShardMove> moveToUnderloaded(
    const LoadTable& table, const LoadTargets& targets, const std::vector<Utils::UpstreamId>& order)
{
    if (ratioOf(table, order.back()) >= targets.lower)
        return std::nullopt;
    for (const Utils::UpstreamId& from : order) {
        std::optional<ShardMove> move = bestMove(table, from, order.back());
        if (move)
            return move;
    }
    return std::nullopt;
}

std::optional<ShardMove> nextMove(const LoadTable& table, const LoadTargets& targets)
{
    const std::vector<Utils::UpstreamId> order = upstreamsByRatio(table);
    std::optional<ShardMove> move = moveOffOverloaded(table, targets, order);
    return move ? move : moveToUnderloaded(table, targets, order);
}

} // namespace

std::size_t balanceLoad(LoadTable& table, const PlacementInput& input)
{
    const LoadTargets targets = makeTargets(input);
    const std::size_t budget = moveBudget(input);
    std::size_t moves = 0;
    for (; moves < budget; ++moves) {
        const std::optional<ShardMove> move = nextMove(table, targets);
        if (!move)
            break;
        removeShard(table, move->from, move->shard);
        addShard(table, move->to, move->shard);
    }
    return moves;
}

} // namespace Placement::Internal
