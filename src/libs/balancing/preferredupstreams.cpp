#include <balancing/loadmodel.h>
#include <balancing/preferredupstreams.h>

#include <utils/hash.h>

#include <algorithm>
#include <tuple>

namespace Balancing {

namespace Internal {

struct RankedCandidate {
    Distance distance = Distance::SameZone;
    std::uint64_t rank = 0;
    std::size_t position = 0;
};

/// The candidates in the order of their distance, those at equal distance in an order that depends on
/// \a seed.
std::vector<RankedCandidate> rankCandidates(const std::vector<Candidate>& candidates, std::uint64_t seed)
{
    std::vector<RankedCandidate> ranked;
    ranked.reserve(candidates.size());
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        const Candidate& candidate = candidates[position];
        ranked.push_back({ candidate.distance, Utils::stableHash(candidate.id.value, seed), position });
    }
    std::sort(ranked.begin(), ranked.end(), [](const RankedCandidate& one, const RankedCandidate& other) {
        return std::tie(one.distance, one.rank) < std::tie(other.distance, other.rank);
    });
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

bool hasFreeSlot(const Candidate& candidate, const ServiceStats& stats, Utils::Instant now)
{
    return now >= candidate.load->ejectedUntil && estimateLoad(*candidate.load, stats, now) < candidate.slots;
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
    if (candidates.size() < PreferredCounts {}.all * minUpstreamsPerPreferred)
        return;
    std::vector<Candidate> kept;
    for (const std::size_t position : findPreferred(candidates, vmSeed)) {
        if (Internal::hasFreeSlot(candidates[position], stats, now))
            kept.push_back(candidates[position]);
    }
    if (!kept.empty())
        candidates = std::move(kept);
}

} // namespace Balancing
