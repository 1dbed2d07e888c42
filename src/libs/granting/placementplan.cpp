#include <granting/placementplan.h>

#include <algorithm>

namespace Granting::Internal {

/// Even load over all keys, as a share of the measured load. It accounts for keys without recent requests.
constexpr double evenLoadShare = 0.15;
/// Minimum even load over all keys, in requests per second, for a service without traffic.
constexpr double minEvenLoad = 2;

static std::vector<double> computeLoadPrefixSums(const KeyLoad& load)
{
    constexpr std::size_t keys = std::size_t(UINT16_MAX) + 1;
    const std::vector<float> rates = estimateRates(load);
    double measured = 0;
    for (const float rate : rates)
        measured += rate;
    const double evenLoadPerKey = std::max(minEvenLoad, measured * evenLoadShare) / static_cast<double>(keys);
    std::vector<double> sums(keys + 1, 0);
    for (std::size_t key = 0; key < keys; ++key)
        sums[key + 1] = sums[key] + evenLoadPerKey + (rates.empty() ? 0 : rates[key]);
    return sums;
}

PlacementPlan startPlan(const std::vector<KeyPlacement>& current, const std::vector<PlacementTarget>& targets,
    const KeyLoad& load)
{
    PlacementPlan plan;
    plan.placements = current;
    plan.targets = targets;
    plan.loadBefore = computeLoadPrefixSums(load);
    plan.total = plan.loadBefore.back();
    for (const PlacementTarget& target : targets)
        plan.totalCapacity += target.capacity;
    computeTargetLoads(plan);
    return plan;
}

void computeTargetLoads(PlacementPlan& plan)
{
    plan.loads.clear();
    for (const KeyPlacement& placement : plan.placements)
        plan.loads[placement.holder] += computeLoad(plan, placement.span);
}

double computeLoad(const PlacementPlan& plan, const Routing::KeySpan& span)
{
    return plan.loadBefore[static_cast<std::size_t>(span.last) + 1] - plan.loadBefore[span.first];
}

double computeUtilisation(const PlacementPlan& plan, const PlacementTarget& target)
{
    const auto found = plan.loads.find(target.id);
    return found == plan.loads.end() ? 0 : found->second / target.capacity;
}

std::uint16_t lastKeyWithin(const PlacementPlan& plan, const Routing::KeySpan& span, double load)
{
    const auto begin = plan.loadBefore.begin() + span.first + 1;
    const auto end = plan.loadBefore.begin() + span.last + 2;
    const auto beyond = std::upper_bound(begin, end, plan.loadBefore[span.first] + load);
    const std::ptrdiff_t keys = std::max<std::ptrdiff_t>(beyond - begin, 1);
    return static_cast<std::uint16_t>(span.first + keys - 1);
}

std::uint16_t firstKeyWithin(const PlacementPlan& plan, const Routing::KeySpan& span, double load)
{
    const auto begin = plan.loadBefore.begin() + span.first;
    const auto end = plan.loadBefore.begin() + span.last;
    const double sumAtEnd = plan.loadBefore[static_cast<std::size_t>(span.last) + 1];
    return static_cast<std::uint16_t>(
        std::lower_bound(begin, end, sumAtEnd - load) - plan.loadBefore.begin());
}

std::vector<std::size_t> findSpansByLoad(const PlacementPlan& plan, const Utils::UpstreamId& donor)
{
    std::vector<std::size_t> positions;
    for (std::size_t index = 0; index < plan.placements.size(); ++index) {
        if (plan.placements[index].holder == donor)
            positions.push_back(index);
    }
    std::sort(positions.begin(), positions.end(), [&](std::size_t one, std::size_t other) {
        return computeLoad(plan, plan.placements[one].span) > computeLoad(plan, plan.placements[other].span);
    });
    return positions;
}

} // namespace Granting::Internal
