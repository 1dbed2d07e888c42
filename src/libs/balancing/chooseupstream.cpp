#include <balancing/chooseupstream.h>
#include <balancing/loadmodel.h>

#include <utils/hash.h>

#include <algorithm>

namespace Balancing {

namespace Internal {

using Milliseconds = std::chrono::duration<double, std::milli>;

/// Round-trip times between availability zones and between regions, from one-way delays of 1.4 and 20 ms.
constexpr Milliseconds zoneRoundTrip { 3 };
constexpr Milliseconds regionRoundTrip { 42 };
/// Cost of transferring a kilobyte, expressed as latency. Derived from the prices of traffic and of a late
/// response in the configuration of the sites.
constexpr Milliseconds zoneCostPerKilobyte { 0.5 };
constexpr Milliseconds regionCostPerKilobyte { 5 };
constexpr double kilobyte = 1000;
/// Ranks an upstream with failures behind healthy ones even while its queue is empty.
constexpr double failureWeight = 4;
/// An upstream is unresponsive after this multiple of its expected service time without a response.
constexpr int unresponsiveFactor = 4;
constexpr Utils::Duration minUnresponsiveTimeout = std::chrono::milliseconds(500);
/// Size of the random part of the score relative to the score. Keeps VMs with the same view of the load from
/// choosing the same upstream.
constexpr double scoreJitter = 0.1;

/// Network latency and transfer cost of a response of \a responseBytes.
Milliseconds networkCost(Distance distance, double responseBytes)
{
    const double kilobytes = responseBytes / kilobyte;
    switch (distance) {
    case Distance::SameZone:
        return Milliseconds(0);
    case Distance::SameRegion:
        return zoneRoundTrip + zoneCostPerKilobyte * kilobytes;
    case Distance::OtherRegion:
        return regionRoundTrip + regionCostPerKilobyte * kilobytes;
    }
    return Milliseconds(0);
}

struct ScoredCandidate {
    std::size_t index = 0;
    double score = 0;
    /// Chosen only if there is no other candidate.
    bool isLastResort = false;
    Utils::Duration expectedLatency {};
};

/// Pseudo-random number in [0, 1) that depends on \a seed and \a id.
double randomFraction(std::uint64_t seed, const Utils::UpstreamId& id)
{
    return static_cast<double>(Utils::stableHash(id.value, seed) >> 11) / static_cast<double>(1ULL << 53);
}

ScoredCandidate scoreCandidate(
    const Candidate& candidate, std::size_t index, const PlacementRequest& request, Utils::Instant now)
{
    ScoredCandidate scored;
    scored.index = index;
    scored.expectedLatency = estimateLatency(*candidate.load, *request.stats, request.baselineLatency,
        candidate.slots, candidate.coldStartFactor, now);
    const double failurePenalty = 1 + failureWeight * candidate.load->failureRate;
    const Milliseconds latency(scored.expectedLatency);
    scored.score
        = latency.count() * failurePenalty * (1 + scoreJitter * randomFraction(request.seed, candidate.id))
        + networkCost(candidate.distance, request.expectedResponseBytes).count();
    scored.isLastResort
        = now < candidate.load->ejectedUntil || isUnresponsive(*candidate.load, *request.stats, now);
    return scored;
}

} // namespace Internal

bool isUnresponsive(const UpstreamLoad& load, const ServiceStats& stats, Utils::Instant now)
{
    const Utils::Duration scaledTimeout(static_cast<std::int64_t>(
        static_cast<double>(stats.serviceTime.count()) * load.slowdownFactor * Internal::unresponsiveFactor));
    const Utils::Duration timeout = std::max(scaledTimeout, Internal::minUnresponsiveTimeout);
    return load.awaitingResponseSince && now - *load.awaitingResponseSince > timeout;
}

std::optional<Placement> chooseUpstream(
    const std::vector<Candidate>& candidates, const PlacementRequest& request, Utils::Instant now)
{
    std::optional<Internal::ScoredCandidate> best;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Internal::ScoredCandidate scored
            = Internal::scoreCandidate(candidates[index], index, request, now);
        const bool isBetter = !best || (best->isLastResort && !scored.isLastResort)
            || (best->isLastResort == scored.isLastResort && scored.score < best->score);
        if (isBetter)
            best = scored;
    }
    if (!best)
        return std::nullopt;
    return Placement { best->index, best->expectedLatency,
        estimateLoad(*candidates[best->index].load, *request.stats, now) };
}

} // namespace Balancing
