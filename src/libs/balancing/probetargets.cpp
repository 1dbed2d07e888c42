#include <balancing/loadmodel.h>
#include <balancing/probetargets.h>

#include <utils/hash.h>

#include <algorithm>
#include <tuple>

namespace Balancing {

namespace Internal {

struct RankedCandidate {
    bool isEjected = false;
    Distance distance = Distance::SameZone;
    std::uint64_t rank = 0;
    std::size_t position = 0;
};

bool precedes(const RankedCandidate& one, const RankedCandidate& other)
{
    return std::tie(one.isEjected, one.distance, one.rank)
        < std::tie(other.isEjected, other.distance, other.rank);
}

/// The candidates in the order of their distance, those at equal distance in an order that depends on
/// \a seed.
std::vector<RankedCandidate> rankCandidates(const std::vector<Candidate>& candidates, std::uint64_t seed)
{
    std::vector<RankedCandidate> ranked;
    ranked.reserve(candidates.size());
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        const Candidate& candidate = candidates[position];
        ranked.push_back(
            { false, candidate.distance, Utils::stableHash(candidate.id.value, seed), position });
    }
    std::sort(ranked.begin(), ranked.end(), precedes);
    return ranked;
}

std::size_t countWithin(const PreferredCounts& counts, Distance distance)
{
    switch (distance) {
    case Distance::SameZone:
        return counts.sameZone;
    case Distance::SameRegion:
        return counts.sameRegion;
    case Distance::OtherRegion:
        return counts.all;
    }
    return counts.all;
}

/// The positions of the candidates that were not asked.
std::vector<std::size_t> findUnasked(
    const std::vector<Candidate>& candidates, const std::set<Utils::UpstreamId>& asked)
{
    std::vector<std::size_t> positions;
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        if (!asked.contains(candidates[position].id))
            positions.push_back(position);
    }
    return positions;
}

} // namespace Internal

std::vector<std::size_t> findPreferred(
    const std::vector<Candidate>& candidates, std::uint64_t vmSeed, const PreferredCounts& counts)
{
    std::vector<std::size_t> preferred;
    for (const Internal::RankedCandidate& ranked : Internal::rankCandidates(candidates, vmSeed)) {
        if (preferred.size() < Internal::countWithin(counts, ranked.distance))
            preferred.push_back(ranked.position);
    }
    return preferred;
}

void keepPreferred(
    std::vector<Candidate>& candidates, const ServiceStats& stats, std::uint64_t vmSeed, Utils::Instant now)
{
    std::vector<std::size_t> preferred = findPreferred(candidates, vmSeed);
    if (preferred.size() == candidates.size())
        return;
    std::erase_if(preferred, [&](std::size_t position) {
        const Candidate& candidate = candidates[position];
        return now < candidate.load->ejectedUntil
            || estimateLoad(*candidate.load, stats, now) >= candidate.slots;
    });
    if (preferred.empty())
        return;
    std::vector<Candidate> kept;
    kept.reserve(preferred.size());
    for (const std::size_t position : preferred)
        kept.push_back(candidates[position]);
    candidates = std::move(kept);
}

std::vector<std::size_t> chooseProbeTargets(
    const std::vector<Candidate>& candidates, const ProbeRequest& request, Utils::Instant now)
{
    const std::vector<std::size_t> eligible = request.round == 0
        ? findPreferred(candidates, request.vmSeed)
        : Internal::findUnasked(candidates, request.asked);
    std::vector<Internal::RankedCandidate> ranked;
    ranked.reserve(eligible.size());
    for (const std::size_t position : eligible) {
        const Candidate& candidate = candidates[position];
        ranked.push_back({ now < candidate.load->ejectedUntil, candidate.distance,
            Utils::stableHash(candidate.id.value, request.requestSeed), position });
    }
    std::sort(ranked.begin(), ranked.end(), Internal::precedes);
    std::vector<std::size_t> targets;
    for (std::size_t index = 0; index < ranked.size() && targets.size() < probesPerRound; ++index)
        targets.push_back(ranked[index].position);
    // Zones fill up unevenly: one of the upstreams that a second round asks is a random one of all.
    if (request.round > 0 && ranked.size() > probesPerRound)
        targets.back() = ranked[1 + request.requestSeed % (ranked.size() - 1)].position;
    return targets;
}

} // namespace Balancing
