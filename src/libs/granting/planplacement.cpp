#include <granting/grantingconstants.h>
#include <granting/planplacement.h>

#include <algorithm>
#include <map>
#include <set>

namespace Granting {

namespace Internal {

/// Even load over all keys, as a share of the measured load. It accounts for keys without recent requests.
constexpr double evenLoadShare = 0.15;
/// Minimum even load over all keys, in requests per second, for a service without traffic.
constexpr double minEvenLoad = 2;
/// An upstream is overloaded if its load exceeds this multiple of its fair share and its utilisation exceeds
/// minOverloadUtilisation.
constexpr double overloadRatio = 1.3;
constexpr double minOverloadUtilisation = 0.4;
/// An upstream below this fraction of its fair share gets more keys, whatever the utilisation of the others.
constexpr double underloadRatio = 0.25;
/// Requests per second below which a move isn't worthwhile.
constexpr double minMovedLoad = 0.2;
/// The limit on the moves of one plan is one for each targetsPerMove upstreams, and at least minMoveLimit.
constexpr std::size_t minMoveLimit = 8;
constexpr std::size_t targetsPerMove = 4;
/// Utilisation, as a multiple of the mean, up to which the holder of an adjacent span is preferred as
/// receiver: its span grows, so that no further call is needed to renew it.
constexpr double maxNeighbourUtilisationRatio = 1.1;
/// Number of chunks, for each remaining upstream, into which all keys would be split. Keys without a usable
/// holder are distributed in chunks of this load.
constexpr double chunksPerTarget = 3;

struct Plan {
    std::vector<KeyPlacement> placements;
    /// Prefix sums: the load of all keys before the one at this position.
    std::vector<double> loadBefore;
    std::vector<PlacementTarget> targets;
    std::map<Utils::UpstreamId, double> loads;
    double total = 0;
    double totalCapacity = 0;
};

std::vector<double> computeLoadPrefixSums(const KeyLoad& load)
{
    constexpr std::size_t keys = std::size_t(UINT16_MAX) + 1;
    double measured = 0;
    for (const float rate : load.rates)
        measured += rate;
    const double evenLoadPerKey = std::max(minEvenLoad, measured * evenLoadShare) / static_cast<double>(keys);
    std::vector<double> sums(keys + 1, 0);
    for (std::size_t key = 0; key < keys; ++key)
        sums[key + 1] = sums[key] + evenLoadPerKey + (load.rates.empty() ? 0 : load.rates[key]);
    return sums;
}

double computeLoad(const Plan& plan, const Routing::KeySpan& span)
{
    return plan.loadBefore[static_cast<std::size_t>(span.last) + 1] - plan.loadBefore[span.first];
}

double computeFairShare(const Plan& plan, const PlacementTarget& target)
{
    return plan.total * target.capacity / plan.totalCapacity;
}

double computeLoadRatio(const Plan& plan, const PlacementTarget& target)
{
    const auto found = plan.loads.find(target.id);
    return found == plan.loads.end() ? 0 : found->second / computeFairShare(plan, target);
}

/// Returns the last key of the longest span that starts with \a span, lies within it and has at most \a load,
/// but at least one key.
std::uint16_t lastKeyWithin(const Plan& plan, const Routing::KeySpan& span, double load)
{
    const auto begin = plan.loadBefore.begin() + span.first + 1;
    const auto end = plan.loadBefore.begin() + span.last + 2;
    const auto beyond = std::upper_bound(begin, end, plan.loadBefore[span.first] + load);
    const std::ptrdiff_t keys = std::max<std::ptrdiff_t>(beyond - begin, 1);
    return static_cast<std::uint16_t>(span.first + keys - 1);
}

void makeInitialPlacement(Plan& plan)
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

/// Returns the first key of the longest span that ends with \a span, lies within it and has at most \a load,
/// but at least one key.
std::uint16_t firstKeyWithin(const Plan& plan, const Routing::KeySpan& span, double load)
{
    const auto begin = plan.loadBefore.begin() + span.first;
    const auto end = plan.loadBefore.begin() + span.last;
    const double sumAtEnd = plan.loadBefore[static_cast<std::size_t>(span.last) + 1];
    return static_cast<std::uint16_t>(
        std::lower_bound(begin, end, sumAtEnd - load) - plan.loadBefore.begin());
}

void computeTargetLoads(Plan& plan)
{
    plan.loads.clear();
    for (const KeyPlacement& placement : plan.placements)
        plan.loads[placement.holder] += computeLoad(plan, placement.span);
}

const PlacementTarget& findLeastLoaded(const Plan& plan)
{
    return *std::min_element(plan.targets.begin(), plan.targets.end(),
        [&](const PlacementTarget& one, const PlacementTarget& other) {
            return computeLoadRatio(plan, one) < computeLoadRatio(plan, other);
        });
}

bool isTarget(const Plan& plan, const Utils::UpstreamId& id)
{
    return std::any_of(plan.targets.begin(), plan.targets.end(),
        [&](const PlacementTarget& target) { return target.id == id; });
}

bool distributeUnheldKeys(Plan& plan)
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
            distributed.push_back({ piece, holder });
            if (piece.last == remaining.last)
                break;
            remaining.first = static_cast<std::uint16_t>(piece.last + 1);
        }
    }
    plan.placements = std::move(distributed);
    return changed;
}

double computeUtilisation(const Plan& plan, const PlacementTarget& target)
{
    const auto found = plan.loads.find(target.id);
    return found == plan.loads.end() ? 0 : found->second / target.capacity;
}

/// Returns the upstream that would have the lowest utilisation with the load \a moved added.
const PlacementTarget& findReceiver(const Plan& plan, double moved)
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
    const Plan& plan, std::size_t index, bool isPreceding, double moved)
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

/// Returns the positions of the donor's spans in descending order of load.
std::vector<std::size_t> findSpansByLoad(const Plan& plan, const Utils::UpstreamId& donor)
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

/// Moves \a piece, which lies at the start or end of the span at \a index, to \a receiver.
void movePiece(
    Plan& plan, std::size_t index, const Routing::KeySpan& piece, const Utils::UpstreamId& receiver)
{
    const KeyPlacement whole = plan.placements[index];
    const double moved = computeLoad(plan, piece);
    plan.loads[whole.holder] -= moved;
    plan.loads[receiver] += moved;
    plan.placements[index] = { piece, receiver };
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
bool moveLoadFrom(Plan& plan, const PlacementTarget& donor, double excess)
{
    const double donorUtilisation = computeUtilisation(plan, donor);
    const bool isAtSegmentLimit = plan.placements.size() >= maxSegments;
    for (const std::size_t index : findSpansByLoad(plan, donor.id)) {
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
std::vector<PlacementTarget> findDonors(const Plan& plan)
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
bool relieveOneDonor(Plan& plan, std::set<Utils::UpstreamId>& unrelievable)
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

void mergeAdjacentPlacements(std::vector<KeyPlacement>& placements)
{
    std::vector<KeyPlacement> merged;
    for (const KeyPlacement& placement : placements) {
        if (!merged.empty() && merged.back().holder == placement.holder)
            merged.back().span.last = placement.span.last;
        else
            merged.push_back(placement);
    }
    placements = std::move(merged);
}

} // namespace Internal

std::optional<std::vector<KeyPlacement>> planPlacement(const std::vector<KeyPlacement>& current,
    const std::vector<PlacementTarget>& targets, const KeyLoad& load)
{
    if (targets.empty())
        return std::nullopt;
    Internal::Plan plan;
    plan.placements = current;
    plan.targets = targets;
    plan.loadBefore = Internal::computeLoadPrefixSums(load);
    plan.total = plan.loadBefore.back();
    for (const PlacementTarget& target : targets)
        plan.totalCapacity += target.capacity;
    if (current.empty())
        Internal::makeInitialPlacement(plan);
    Internal::computeTargetLoads(plan);
    Internal::distributeUnheldKeys(plan);
    const std::size_t maxMoves = std::max(Internal::minMoveLimit, targets.size() / Internal::targetsPerMove);
    std::set<Utils::UpstreamId> unrelievable;
    for (std::size_t moves = 0; moves < maxMoves; ++moves) {
        if (!Internal::relieveOneDonor(plan, unrelievable))
            break;
    }
    Internal::mergeAdjacentPlacements(plan.placements);
    if (plan.placements == current)
        return std::nullopt;
    return plan.placements;
}

} // namespace Granting
