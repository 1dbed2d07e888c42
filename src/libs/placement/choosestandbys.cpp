#include <placement/choosestandbys.h>

namespace Placement::Internal {

namespace {

/// Load that each upstream would take over from one owner.
using TakeOver = std::map<std::pair<Utils::UpstreamId, Utils::UpstreamId>, double>;

const Utils::ZoneId& zoneOf(const PlacementInput& input, const Utils::UpstreamId& upstream)
{
    return input.upstreams.at(upstream).zone;
}

bool hasOtherZone(const LoadTable& table, const PlacementInput& input, const Utils::UpstreamId& owner)
{
    for (const std::pair<const Utils::UpstreamId, double>& entry : table.capacities) {
        if (zoneOf(input, entry.first) != zoneOf(input, owner))
            return true;
    }
    return false;
}

bool canStandBy(const LoadTable& table, const PlacementInput& input, const Utils::UpstreamId& owner,
    const Utils::UpstreamId& standby)
{
    if (standby == owner || !table.capacities.contains(standby))
        return false;
    return zoneOf(input, standby) != zoneOf(input, owner) || !hasOtherZone(table, input, owner);
}

/// Load over capacity of \a standby if \a owner were lost.
double ratioAfterLoss(const LoadTable& table, const TakeOver& takeOver, const Utils::UpstreamId& owner,
    const Utils::UpstreamId& standby)
{
    const TakeOver::const_iterator found = takeOver.find({ owner, standby });
    return ratioOf(table, standby, found == takeOver.end() ? 0 : found->second);
}

Utils::UpstreamId bestStandby(const LoadTable& table, const PlacementInput& input, const TakeOver& takeOver,
    const Utils::UpstreamId& owner)
{
    Utils::UpstreamId best;
    double bestRatio = 0;
    for (const std::pair<const Utils::UpstreamId, double>& entry : table.capacities) {
        if (!canStandBy(table, input, owner, entry.first))
            continue;
        const double ratio = ratioAfterLoss(table, takeOver, owner, entry.first);
        if (best.value.empty() || ratio < bestRatio) {
            best = entry.first;
            bestRatio = ratio;
        }
    }
    return best;
}

/// The standby that \a shard has now, if it can stay.
Utils::UpstreamId presentStandby(const LoadTable& table, const PlacementInput& input,
    const Utils::ShardId& shard, const Utils::UpstreamId& owner)
{
    const std::map<Utils::ShardId, Agreement::ShardAssignment>::const_iterator present
        = input.present.find(shard);
    if (present == input.present.end() || !canStandBy(table, input, owner, present->second.standby))
        return {};
    return present->second.standby;
}

} // namespace

void chooseStandbys(PlacementResult& result, const LoadTable& table, const PlacementInput& input)
{
    TakeOver takeOver;
    for (std::pair<const Utils::ShardId, Agreement::ShardAssignment>& entry : result.shards) {
        entry.second.standby = presentStandby(table, input, entry.first, entry.second.owner);
        if (!entry.second.standby.value.empty())
            takeOver[{ entry.second.owner, entry.second.standby }] += table.weights.at(entry.first);
    }
    for (std::pair<const Utils::ShardId, Agreement::ShardAssignment>& entry : result.shards) {
        if (!entry.second.standby.value.empty())
            continue;
        entry.second.standby = bestStandby(table, input, takeOver, entry.second.owner);
        if (!entry.second.standby.value.empty())
            takeOver[{ entry.second.owner, entry.second.standby }] += table.weights.at(entry.first);
    }
}

} // namespace Placement::Internal
