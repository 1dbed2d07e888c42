#include <placement/loadtable.h>
#include <placement/placementconstants.h>

#include <algorithm>

namespace Placement::Internal {

namespace {

/// Mean of the measured loads; 1 when nothing is measured.
double meanLoad(const PlacementInput& input)
{
    double sum = 0;
    std::size_t measured = 0;
    for (const Utils::ShardId& shard : input.shards) {
        const std::map<Utils::ShardId, double>::const_iterator found = input.loads.find(shard);
        if (found == input.loads.end())
            continue;
        sum += std::max(found->second, 0.0);
        ++measured;
    }
    return sum > 0 ? sum / static_cast<double>(measured) : 1;
}

} // namespace

LoadTable makeLoadTable(const PlacementInput& input)
{
    LoadTable table;
    const double mean = meanLoad(input);
    for (const Utils::ShardId& shard : input.shards) {
        const std::map<Utils::ShardId, double>::const_iterator found = input.loads.find(shard);
        const double load = found == input.loads.end() ? mean : std::max(found->second, 0.0);
        table.weights[shard] = load + idleShardShare * mean;
    }
    for (const std::pair<const Utils::UpstreamId, Declarations::Upstream>& entry : input.upstreams) {
        if (entry.second.leaving)
            continue;
        table.capacities[entry.first] = std::max(entry.second.slots, 1U);
        table.loads[entry.first] = 0;
        table.owned[entry.first] = {};
    }
    return table;
}

void addShard(LoadTable& table, const Utils::UpstreamId& upstream, const Utils::ShardId& shard)
{
    table.owned[upstream].insert(shard);
    table.loads[upstream] += table.weights[shard];
}

void removeShard(LoadTable& table, const Utils::UpstreamId& upstream, const Utils::ShardId& shard)
{
    table.owned[upstream].erase(shard);
    table.loads[upstream] -= table.weights[shard];
}

double ratioOf(const LoadTable& table, const Utils::UpstreamId& upstream, double extra)
{
    return (table.loads.at(upstream) + extra) / table.capacities.at(upstream);
}

std::vector<Utils::UpstreamId> upstreamsByRatio(const LoadTable& table)
{
    std::vector<Utils::UpstreamId> order;
    order.reserve(table.capacities.size());
    for (const std::pair<const Utils::UpstreamId, double>& entry : table.capacities)
        order.push_back(entry.first);
    std::stable_sort(
        order.begin(), order.end(), [&table](const Utils::UpstreamId& one, const Utils::UpstreamId& other) {
            return ratioOf(table, one) > ratioOf(table, other);
        });
    return order;
}

Utils::UpstreamId lightestUpstream(const LoadTable& table, const Utils::UpstreamId& except, double extra)
{
    Utils::UpstreamId lightest;
    for (const std::pair<const Utils::UpstreamId, double>& entry : table.capacities) {
        if (entry.first == except)
            continue;
        if (lightest.value.empty() || ratioOf(table, entry.first, extra) < ratioOf(table, lightest, extra))
            lightest = entry.first;
    }
    return lightest;
}

void addHeaviestFirst(LoadTable& table, const std::set<Utils::ShardId>& shards)
{
    std::vector<Utils::ShardId> order(shards.begin(), shards.end());
    std::stable_sort(
        order.begin(), order.end(), [&table](const Utils::ShardId& one, const Utils::ShardId& other) {
            return table.weights.at(one) > table.weights.at(other);
        });
    for (const Utils::ShardId& shard : order)
        addShard(table, lightestUpstream(table, {}, table.weights.at(shard)), shard);
}

} // namespace Placement::Internal
