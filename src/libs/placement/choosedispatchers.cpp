#include <placement/choosedispatchers.h>
#include <placement/placementconstants.h>
#include <placement/rendezvous.h>

#include <algorithm>
#include <cmath>
#include <functional>

namespace Placement {

namespace Internal {

/// Duties that each VM has so far.
using Duties = std::map<Agreement::VmStart, std::size_t>;
using Candidates = std::vector<const VmCandidate*>;

const VmCandidate* findVm(const DispatchInput& input, const Agreement::VmStart& start)
{
    const std::vector<VmCandidate>::const_iterator found = std::find_if(input.vms.begin(), input.vms.end(),
        [&start](const VmCandidate& candidate) { return candidate.start == start; });
    return found == input.vms.end() ? nullptr : &*found;
}

Candidates candidatesWhere(
    const DispatchInput& input, const std::function<bool(const VmCandidate&)>& isWanted)
{
    Candidates candidates;
    for (const VmCandidate& candidate : input.vms) {
        if (isWanted(candidate))
            candidates.push_back(&candidate);
    }
    return candidates;
}

/// VMs of the pool's region, or all when it has none.
Candidates dispatcherCandidates(const DispatchInput& input, const Utils::RegionId& region)
{
    Candidates local = candidatesWhere(
        input, [&region](const VmCandidate& candidate) { return candidate.region == region; });
    if (!local.empty())
        return local;
    return candidatesWhere(input, [](const VmCandidate&) { return true; });
}

/// VMs in another zone of the region; failing that in another zone anywhere; failing that any other VM.
Candidates successorCandidates(
    const DispatchInput& input, const Utils::RegionId& region, const VmCandidate& dispatcher)
{
    Candidates inRegion = candidatesWhere(input, [&](const VmCandidate& candidate) {
        return candidate.region == region && candidate.zone != dispatcher.zone;
    });
    if (!inRegion.empty())
        return inRegion;
    Candidates elsewhere = candidatesWhere(
        input, [&](const VmCandidate& candidate) { return candidate.zone != dispatcher.zone; });
    if (!elsewhere.empty())
        return elsewhere;
    return candidatesWhere(
        input, [&](const VmCandidate& candidate) { return candidate.start.vm != dispatcher.start.vm; });
}

/// Duties that a VM may have when \a pools are shared by \a vms.
std::size_t dutyBound(std::size_t pools, std::size_t vms)
{
    const double share = static_cast<double>(pools) / static_cast<double>(std::max<std::size_t>(vms, 1));
    return static_cast<std::size_t>(std::ceil(share * (1 + dutySlack)));
}

std::size_t poolsOfRegion(const DispatchInput& input, const Utils::RegionId& region)
{
    return static_cast<std::size_t>(std::count_if(input.pools.begin(), input.pools.end(),
        [&region](const std::pair<const Utils::PoolId, Utils::RegionId>& entry) {
            return entry.second == region;
        }));
}

/// The highest score among those below \a bound; among those with the fewest duties when all have reached it.
const VmCandidate* bestCandidate(
    const Candidates& candidates, const Duties& duties, std::size_t bound, const std::string& subject)
{
    const VmCandidate* best = nullptr;
    std::pair<std::size_t, double> bestRank;
    for (const VmCandidate* const candidate : candidates) {
        const Duties::const_iterator found = duties.find(candidate->start);
        const std::size_t count = found == duties.end() ? 0 : found->second;
        const std::size_t excess = count < bound ? 0 : count + 1 - bound;
        const std::pair<std::size_t, double> rank(
            excess, -rendezvousScore(subject, candidate->start.vm.value));
        if (!best || rank < bestRank) {
            best = candidate;
            bestRank = rank;
        }
    }
    return best;
}

bool contains(const Candidates& candidates, const VmCandidate* candidate)
{
    return std::find(candidates.begin(), candidates.end(), candidate) != candidates.end();
}

/// Keeps \a present as one of \a candidates below \a bound.
bool tryKeep(Duties& duties, const DispatchInput& input, const Agreement::VmStart& present,
    const Candidates& candidates, std::size_t bound)
{
    const VmCandidate* const candidate = findVm(input, present);
    if (!candidate || !contains(candidates, candidate) || duties[present] >= bound)
        return false;
    ++duties[present];
    return true;
}

/// Keeps the dispatcher of \a present, or else has its successor take the place; \a kept is who it is.
bool keepEither(Duties& duties, const DispatchInput& input, const DispatchPair& present,
    const Candidates& candidates, std::size_t bound, Agreement::VmStart& kept)
{
    for (const Agreement::VmStart& start : { present.dispatcher, present.successor }) {
        if (!tryKeep(duties, input, start, candidates, bound))
            continue;
        kept = start;
        return true;
    }
    return false;
}

void chooseDispatcherOfEach(
    std::map<Utils::PoolId, DispatchPair>& pairs, Duties& duties, const DispatchInput& input)
{
    std::vector<Utils::PoolId> open;
    for (const std::pair<const Utils::PoolId, Utils::RegionId>& entry : input.pools) {
        const Candidates candidates = dispatcherCandidates(input, entry.second);
        const std::size_t bound = dutyBound(poolsOfRegion(input, entry.second), candidates.size());
        const std::map<Utils::PoolId, DispatchPair>::const_iterator present = input.present.find(entry.first);
        const bool isKept = present != input.present.end()
            && keepEither(duties, input, present->second, candidates, bound, pairs[entry.first].dispatcher);
        if (!isKept)
            open.push_back(entry.first);
    }
    for (const Utils::PoolId& pool : open) {
        const Utils::RegionId& region = input.pools.at(pool);
        const Candidates candidates = dispatcherCandidates(input, region);
        const std::size_t bound = dutyBound(poolsOfRegion(input, region), candidates.size());
        pairs[pool].dispatcher = bestCandidate(candidates, duties, bound, pool.value)->start;
        ++duties[pairs[pool].dispatcher];
    }
}

void chooseSuccessorOfEach(std::map<Utils::PoolId, DispatchPair>& pairs, const DispatchInput& input)
{
    Duties duties;
    std::vector<Utils::PoolId> open;
    const auto candidatesOf = [&](const Utils::PoolId& pool) {
        return successorCandidates(input, input.pools.at(pool), *findVm(input, pairs.at(pool).dispatcher));
    };
    const auto boundOf = [&](const Utils::PoolId& pool, const Candidates& candidates) {
        return dutyBound(poolsOfRegion(input, input.pools.at(pool)), candidates.size());
    };
    for (std::pair<const Utils::PoolId, DispatchPair>& entry : pairs) {
        const Candidates candidates = candidatesOf(entry.first);
        const std::map<Utils::PoolId, DispatchPair>::const_iterator present = input.present.find(entry.first);
        const bool isKept = present != input.present.end()
            && tryKeep(
                duties, input, present->second.successor, candidates, boundOf(entry.first, candidates));
        if (isKept)
            entry.second.successor = present->second.successor;
        else
            open.push_back(entry.first);
    }
    for (const Utils::PoolId& pool : open) {
        const Candidates candidates = candidatesOf(pool);
        const VmCandidate* const best
            = bestCandidate(candidates, duties, boundOf(pool, candidates), pool.value + "/successor");
        if (!best)
            continue;
        pairs[pool].successor = best->start;
        ++duties[best->start];
    }
}

} // namespace Internal

std::map<Utils::PoolId, DispatchPair> chooseDispatchers(const DispatchInput& input)
{
    std::map<Utils::PoolId, DispatchPair> pairs;
    if (input.vms.empty())
        return pairs;
    Internal::Duties duties;
    Internal::chooseDispatcherOfEach(pairs, duties, input);
    Internal::chooseSuccessorOfEach(pairs, input);
    return pairs;
}

} // namespace Placement
