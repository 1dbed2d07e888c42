#include <granting/grantingconstants.h>
#include <granting/spreadoverload.h>

#include <algorithm>
#include <queue>

namespace Granting::Internal {

namespace {

struct Receiver {
    double utilisation;
    std::size_t target;
};

bool isBusier(const Receiver& one, const Receiver& other)
{
    return one.utilisation > other.utilisation
        || (one.utilisation == other.utilisation && one.target > other.target);
}

using Receivers = std::priority_queue<Receiver, std::vector<Receiver>, decltype(&isBusier)>;

struct Spread {
    /// Utilisation to which donors are relieved and receivers are filled.
    double level = 1;
    Receivers receivers { &isBusier };
    /// Segments that may still be added.
    std::size_t remainingSegments = 0;
    double movedLoad = 0;
};

/// Returns the part of \a span to move: what is left if the donor keeps \a kept requests per second at both
/// ends. Idle keys at the ends stay, so that only few keys change hands.
Routing::KeySpan findBusyPart(const PlacementPlan& plan, const Routing::KeySpan& span, double kept)
{
    Routing::KeySpan part = span;
    if (kept <= 0)
        return part;
    const std::uint16_t lastKept = lastKeyWithin(plan, span, kept / 2);
    if (computeLoad(plan, { span.first, lastKept }) <= kept / 2 && lastKept < span.last)
        part.first = static_cast<std::uint16_t>(lastKept + 1);
    const std::uint16_t firstKept = firstKeyWithin(plan, part, kept / 2);
    if (computeLoad(plan, { firstKept, span.last }) <= kept / 2 && firstKept > part.first)
        part.last = static_cast<std::uint16_t>(firstKept - 1);
    return part;
}

/// Adds the keys from \a first to the one before \a end, if there are any.
void addPlacement(std::vector<KeyPlacement>& placements, std::uint32_t first, std::uint32_t end,
    const Utils::UpstreamId& holder)
{
    if (first < end)
        placements.push_back(
            { { static_cast<std::uint16_t>(first), static_cast<std::uint16_t>(end - 1) }, holder });
}

/// Moves pieces of the span at \a index until its holder has at most \a targetLoad.
void spreadSpan(
    PlacementPlan& plan, Spread& spread, std::size_t index, const PlacementTarget& donor, double targetLoad)
{
    const Routing::KeySpan whole = plan.placements[index].span;
    double& donorLoad = plan.loads[donor.id];
    const Routing::KeySpan part
        = findBusyPart(plan, whole, targetLoad - (donorLoad - computeLoad(plan, whole)));
    std::vector<KeyPlacement> pieces;
    std::uint32_t next = part.first;
    std::uint32_t firstKept = whole.first;
    while (next <= part.last && donorLoad > targetLoad && spread.remainingSegments > pieces.size() + 2
        && !spread.receivers.empty()) {
        const Receiver receiver = spread.receivers.top();
        const PlacementTarget& target = plan.targets[receiver.target];
        const double room = (spread.level - receiver.utilisation) * target.capacity;
        if (room < minMovedLoad)
            break;
        const Routing::KeySpan remaining { static_cast<std::uint16_t>(next), part.last };
        const Routing::KeySpan piece { remaining.first, lastKeyWithin(plan, remaining, room) };
        const double moved = computeLoad(plan, piece);
        next = piece.last + 1U;
        const bool isImprovement = receiver.utilisation + moved / target.capacity
            < computeUtilisation(plan, donor) - moved / donor.capacity / 2;
        if (!isImprovement || moved < minMovedLoad)
            continue;
        addPlacement(pieces, firstKept, piece.first, donor.id);
        pieces.push_back({ piece, target.id, false });
        firstKept = next;
        donorLoad -= moved;
        plan.loads[target.id] += moved;
        spread.movedLoad += moved;
        spread.receivers.pop();
        spread.receivers.push({ plan.loads[target.id] / target.capacity, receiver.target });
    }
    if (pieces.empty())
        return;
    addPlacement(pieces, firstKept, whole.last + 1U, donor.id);
    spread.remainingSegments -= std::min(spread.remainingSegments, pieces.size() - 1);
    const auto position = plan.placements.erase(plan.placements.begin() + static_cast<std::ptrdiff_t>(index));
    plan.placements.insert(position, pieces.begin(), pieces.end());
}

/// Moves load away from \a donor, the busiest span first.
void relieve(PlacementPlan& plan, Spread& spread, const PlacementTarget& donor)
{
    const double targetLoad = spread.level * donor.capacity;
    std::vector<Routing::KeySpan> spans;
    for (const std::size_t index : findSpansByLoad(plan, donor.id)) {
        if (plan.placements[index].isSettled)
            spans.push_back(plan.placements[index].span);
    }
    for (const Routing::KeySpan& span : spans) {
        if (plan.loads[donor.id] <= targetLoad)
            return;
        const auto found = std::find_if(plan.placements.begin(), plan.placements.end(),
            [&span](const KeyPlacement& placement) { return placement.span == span; });
        spreadSpan(
            plan, spread, static_cast<std::size_t>(found - plan.placements.begin()), donor, targetLoad);
    }
}

} // namespace

bool isWorthSpreading(double load, double keptLoad, const PlacementTarget& target)
{
    const double moveShare = std::chrono::duration<double>(expectedMoveTime) / expectedOverloadTime;
    return load - target.capacity > (load - keptLoad) * moveShare;
}

double spreadOverload(PlacementPlan& plan)
{
    Spread spread;
    const double mean = plan.total / plan.totalCapacity;
    spread.level = (1 + mean) / 2;
    if (mean >= 1 || plan.placements.size() >= maxSegments)
        return 0;
    spread.remainingSegments = maxSegments - plan.placements.size();
    std::vector<PlacementTarget> donors;
    for (std::size_t index = 0; index < plan.targets.size(); ++index) {
        const PlacementTarget& target = plan.targets[index];
        const double utilisation = computeUtilisation(plan, target);
        if (utilisation < spread.level)
            spread.receivers.push({ utilisation, index });
        else if (isWorthSpreading(plan.loads[target.id], spread.level * target.capacity, target))
            donors.push_back(target);
    }
    std::stable_sort(
        donors.begin(), donors.end(), [&plan](const PlacementTarget& one, const PlacementTarget& other) {
            return computeUtilisation(plan, one) > computeUtilisation(plan, other);
        });
    for (const PlacementTarget& donor : donors)
        relieve(plan, spread, donor);
    return spread.movedLoad;
}

} // namespace Granting::Internal
