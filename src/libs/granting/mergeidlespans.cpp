#include <granting/grantingconstants.h>
#include <granting/mergeidlespans.h>

#include <algorithm>

namespace Granting::Internal {

namespace {

/// Segments for each upstream, as far as the limit allows, that are left as they are: each is renewed by a
/// call, but a move takes two.
constexpr std::size_t keptSegmentsPerTarget = 2;
/// Only spans with fewer keys than this fraction of an even share are moved.
constexpr std::size_t spansPerTarget = 4;

bool isIdle(const PlacementPlan& plan, const KeyPlacement& placement)
{
    const std::size_t maxKeys = (std::size_t(UINT16_MAX) + 1) / plan.targets.size() / spansPerTarget;
    return placement.isSettled && computeLoad(plan, placement.span) < minMovedLoad
        && Routing::countKeys(placement.span) <= maxKeys;
}

} // namespace

void mergeIdleSpans(PlacementPlan& plan)
{
    const std::size_t kept = std::min(plan.targets.size() * keptSegmentsPerTarget, maxSegments / 2);
    std::size_t segments = plan.placements.size();
    for (std::size_t index = 1; index < plan.placements.size() && segments > kept; ++index) {
        const KeyPlacement& previous = plan.placements[index - 1];
        KeyPlacement& placement = plan.placements[index];
        if (placement.holder == previous.holder || !isIdle(plan, placement))
            continue;
        const double load = computeLoad(plan, placement.span);
        plan.loads[placement.holder] -= load;
        plan.loads[previous.holder] += load;
        placement.holder = previous.holder;
        placement.isSettled = false;
        --segments;
    }
}

} // namespace Granting::Internal
