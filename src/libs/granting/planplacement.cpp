#include <granting/grantingconstants.h>
#include <granting/mergeidlespans.h>
#include <granting/placementplan.h>
#include <granting/planplacement.h>
#include <granting/spreadoverload.h>

#include <algorithm>
#include <set>

namespace Granting {

namespace Internal {

/// An upstream is overloaded if its load exceeds this multiple of its fair share and its utilisation exceeds
/// minOverloadUtilisation.
constexpr double overloadRatio = 1.5;
constexpr double minOverloadUtilisation = 0.4;
/// An upstream below this fraction of its fair share gets more keys, whatever the utilisation of the others.
constexpr double underloadRatio = 0.25;
/// The limit on the moves of one plan is one for each targetsPerMove upstreams, and at least minMoveLimit.
constexpr std::size_t minMoveLimit = 8;
constexpr std::size_t targetsPerMove = 4;
/// Utilisation, as a multiple of the mean, up to which the holder of an adjacent span is preferred as
/// receiver: its span grows, so that no further call is needed to renew it.
constexpr double maxNeighbourUtilisationRatio = 1.1;
/// Number of chunks, for each remaining upstream, into which all keys would be split. Keys without a usable
/// holder are distributed in chunks of this load.
constexpr double chunksPerTarget = 3;

double computeFairShare(const PlacementPlan& plan, const PlacementTarget& target)
{
    return plan.total * target.capacity / plan.totalCapacity;
}

double computeLoadRatio(const PlacementPlan& plan, const PlacementTarget& target)
{
    const auto found = plan.loads.find(target.id);
    return found == plan.loads.end() ? 0 : found->second / computeFairShare(plan, target);
}

void makeInitialPlacement(PlacementPlan& plan)
{
    std::uint32_t first = 0;
    double cumulativeShare = 0;
    for (std::size_t index = 0; index < plan.targets.size() && first <= UINT16_MAX; ++index) {
        cumulativeShare += computeFairShare(plan, plan.targets[index]);
        Routing::KeySpan span { static_cast<std::uint16_t>(first), UINT16_MAX };
        if (index + 1 < plan.targets.size())
            span.last = lastKeyWithin(plan, span, cumulativeShare - plan.loadBefore[first]);
        plan.placements.push_back({ span, plan.targets[index].id });
        first = static_cast<std::uint32_t>(span.last) + 1;
    }
}

const PlacementTarget& findLeastLoaded(const PlacementPlan& plan)
{
    return *std::min_element(plan.targets.begin(), plan.targets.end(),
        [&](const PlacementTarget& one, const PlacementTarget& other) {
            return computeLoadRatio(plan, one) < computeLoadRatio(plan, other);
        });
}

bool isTarget(const PlacementPlan& plan, const Utils::UpstreamId& id)
{
    return std::any_of(plan.targets.begin(), plan.targets.end(),
        [&](const PlacementTarget& target) { return target.id == id; });
}

bool distributeUnheldKeys(PlacementPlan& plan)
{
    const double chunk = plan.total / (static_cast<double>(plan.targets.size()) * chunksPerTarget);
    std::vector<KeyPlacement> distributed;
    bool changed = false;
    for (const KeyPlacement& placement : plan.placements) {
        if (isTarget(plan, placement.holder)) {
            distributed.push_back(placement);
            continue;
        }
        changed = true;
        Routing::KeySpan remaining = placement.span;
        while (true) {
            const Routing::KeySpan piece { remaining.first, lastKeyWithin(plan, remaining, chunk) };
            const Utils::UpstreamId holder = findLeastLoaded(plan).id;
            plan.loads[holder] += computeLoad(plan, piece);
            distributed.push_back({ piece, holder, false });
            if (piece.last == remaining.last)
                break;
            remaining.first = static_cast<std::uint16_t>(piece.last + 1);
        }
    }
    plan.placements = std::move(distributed);
    return changed;
}

/// Returns the upstream that would have the lowest utilisation with the load \a moved added.
const PlacementTarget& findReceiver(const PlacementPlan& plan, double moved)
{
    return *std::min_element(plan.targets.begin(), plan.targets.end(),
        [&](const PlacementTarget& one, const PlacementTarget& other) {
            return computeUtilisation(plan, one) + moved / one.capacity
                < computeUtilisation(plan, other) + moved / other.capacity;
        });
}

/// Returns the holder of the span adjacent to the one at \a index if it is a target with capacity for the
/// load \a moved, otherwise null.
const PlacementTarget* findNeighbourWithCapacity(
    const PlacementPlan& plan, std::size_t index, bool isPreceding, double moved)
{
    const bool exists = isPreceding ? index > 0 : index + 1 < plan.placements.size();
    if (!exists)
        return nullptr;
    const Utils::UpstreamId& holder = plan.placements[isPreceding ? index - 1 : index + 1].holder;
    const auto found = std::find_if(plan.targets.begin(), plan.targets.end(),
        [&holder](const PlacementTarget& target) { return target.id == holder; });
    if (found == plan.targets.end())
        return nullptr;
    const double mean = plan.total / plan.totalCapacity;
    return computeUtilisation(plan, *found) + moved / found->capacity <= mean * maxNeighbourUtilisationRatio
        ? &*found
        : nullptr;
}

/// Moves \a piece, which lies at the start or end of the span at \a index, to \a receiver.
void movePiece(
    PlacementPlan& plan, std::size_t index, const Routing::KeySpan& piece, const Utils::UpstreamId& receiver)
{
    const KeyPlacement whole = plan.placements[index];
    const double moved = computeLoad(plan, piece);
    plan.loads[whole.holder] -= moved;
    plan.loads[receiver] += moved;
    plan.placements[index] = { piece, receiver, false };
    const auto position = plan.placements.begin() + static_cast<std::ptrdiff_t>(index);
    if (piece.last != whole.span.last)
        plan.placements.insert(
            position + 1, { { static_cast<std::uint16_t>(piece.last + 1), whole.span.last }, whole.holder });
    else if (piece.first != whole.span.first)
        plan.placements.insert(
            position, { { whole.span.first, static_cast<std::uint16_t>(piece.first - 1) }, whole.holder });
}

/// Moves a piece of one of the donor's spans, from either end, if that leaves both upstreams with a lower
/// utilisation than the donor had. Keys next to one whose load is too high to move are moved away from it. At
/// the segment limit only whole spans move, and pieces only to the holder of the adjacent span, which grows.
bool moveLoadFrom(PlacementPlan& plan, const PlacementTarget& donor, double excess)
{
    const double donorUtilisation = computeUtilisation(plan, donor);
    const bool isAtSegmentLimit = plan.placements.size() >= maxSegments;
    for (const std::size_t index : findSpansByLoad(plan, donor.id)) {
        if (!plan.placements[index].isSettled)
            continue;
        const Routing::KeySpan whole = plan.placements[index].span;
        std::vector<Routing::KeySpan> pieces { { whole.first, lastKeyWithin(plan, whole, excess) },
            { firstKeyWithin(plan, whole, excess), whole.last } };
        if (isAtSegmentLimit)
            pieces.push_back(whole);
        for (const Routing::KeySpan& piece : pieces) {
            const double moved = computeLoad(plan, piece);
            const PlacementTarget* const neighbour
                = findNeighbourWithCapacity(plan, index, piece.first == whole.first, moved);
            if (isAtSegmentLimit && !neighbour && piece != whole)
                continue;
            const PlacementTarget& receiver = neighbour ? *neighbour : findReceiver(plan, moved);
            const bool isImprovement = receiver.id != donor.id
                && computeUtilisation(plan, receiver) + moved / receiver.capacity
                    < donorUtilisation - moved / donor.capacity / 2;
            if (!isImprovement || moved < minMovedLoad)
                continue;
            movePiece(plan, index, piece, receiver.id);
            return true;
        }
    }
    return false;
}

/// Returns the upstreams above their fair share in descending order of load ratio.
std::vector<PlacementTarget> findDonors(const PlacementPlan& plan)
{
    std::vector<std::pair<double, PlacementTarget>> loaded;
    for (const PlacementTarget& target : plan.targets) {
        const double ratio = computeLoadRatio(plan, target);
        if (ratio > 1)
            loaded.emplace_back(ratio, target);
    }
    std::stable_sort(loaded.begin(), loaded.end(),
        [](const std::pair<double, PlacementTarget>& one, const std::pair<double, PlacementTarget>& other) {
            return one.first > other.first;
        });
    std::vector<PlacementTarget> donors;
    donors.reserve(loaded.size());
    for (const std::pair<double, PlacementTarget>& donor : loaded)
        donors.push_back(donor.second);
    return donors;
}

/// Moves load away from one upstream. One that can't be relieved, for example because its load is on a single
/// key, is added to \a unrelievable, so that the other donors are still relieved.
bool relieveOneDonor(PlacementPlan& plan, std::set<Utils::UpstreamId>& unrelievable)
{
    const PlacementTarget leastLoaded = findLeastLoaded(plan);
    const bool isUnderloaded = computeLoadRatio(plan, leastLoaded) < underloadRatio;
    const double spareShare = computeFairShare(plan, leastLoaded) - plan.loads[leastLoaded.id];
    for (const PlacementTarget& donor : findDonors(plan)) {
        const bool isOverloaded = computeLoadRatio(plan, donor) > overloadRatio
            && computeUtilisation(plan, donor) > minOverloadUtilisation;
        if (unrelievable.contains(donor.id) || (!isOverloaded && !isUnderloaded))
            continue;
        const double excess = std::min(plan.loads[donor.id] - computeFairShare(plan, donor), spareShare);
        if (excess > 0 && moveLoadFrom(plan, donor, excess))
            return true;
        unrelievable.insert(donor.id);
    }
    return false;
}

bool isSamePlacement(const KeyPlacement& one, const KeyPlacement& other)
{
    return one.span == other.span && one.holder == other.holder;
}

/// Merges adjacent spans of a holder. Spans that are changing hands are merged once it has them, so that
/// nothing else waits for them, or if there are too many.
void mergeAdjacentPlacements(std::vector<KeyPlacement>& placements)
{
    const bool mergesAll = placements.size() > maxSegments;
    std::vector<KeyPlacement> merged;
    for (const KeyPlacement& placement : placements) {
        const bool continues = !merged.empty() && merged.back().holder == placement.holder
            && (mergesAll || (merged.back().isSettled && placement.isSettled));
        if (!continues) {
            merged.push_back(placement);
            continue;
        }
        merged.back().span.last = placement.span.last;
        merged.back().isSettled = merged.back().isSettled && placement.isSettled;
    }
    placements = std::move(merged);
}

} // namespace Internal

std::optional<std::vector<KeyPlacement>> planPlacement(const std::vector<KeyPlacement>& current,
    const std::vector<PlacementTarget>& targets, const KeyLoad& load)
{
    if (targets.empty())
        return std::nullopt;
    Internal::PlacementPlan plan = Internal::startPlan(current, targets, load);
    if (current.empty())
        Internal::makeInitialPlacement(plan);
    Internal::computeTargetLoads(plan);
    Internal::distributeUnheldKeys(plan);
    const bool hasSpread = Internal::spreadOverload(plan) > 0;
    if (!hasSpread)
        Internal::mergeIdleSpans(plan);
    const std::size_t maxMoves = std::max(Internal::minMoveLimit, targets.size() / Internal::targetsPerMove);
    std::set<Utils::UpstreamId> unrelievable;
    for (std::size_t moves = 0; !hasSpread && moves < maxMoves; ++moves) {
        if (!Internal::relieveOneDonor(plan, unrelievable))
            break;
    }
    Internal::mergeAdjacentPlacements(plan.placements);
    if (std::equal(plan.placements.begin(), plan.placements.end(), current.begin(), current.end(),
            Internal::isSamePlacement))
        return std::nullopt;
    return plan.placements;
}

double computeExcess(const std::vector<KeyPlacement>& placements, const std::vector<PlacementTarget>& targets,
    const KeyLoad& load)
{
    const Internal::PlacementPlan plan = Internal::startPlan(placements, targets, load);
    double excess = 0;
    for (const PlacementTarget& target : plan.targets)
        excess += std::max(0.0, Internal::computeUtilisation(plan, target) - 1) * target.capacity;
    return excess;
}

} // namespace Granting
