#include <balancing/chooseupstream.h>
#include <balancing/loadmodel.h>

#include <utils/hash.h>

#include <algorithm>

namespace Balancing {

namespace Internal {

using Milliseconds = std::chrono::duration<double, std::milli>;

/// Round trip between zones and between regions; the users' pages: 1.4 and 20 ms one way.
constexpr Milliseconds zoneTrip { 3 };
constexpr Milliseconds regionTrip { 42 };
/// What a kilobyte weighs against waiting; from the prices of bytes and of a late answer in the site files.
constexpr Milliseconds zoneKilobyte { 0.5 };
constexpr Milliseconds regionKilobyte { 5 };
constexpr double kilobyte = 1000;
/// Keeps an upstream with failures behind sound ones even while its queue is empty.
constexpr double failureWeight = 4;
/// Silent for this many times the usual time.
constexpr int silentTimes = 4;
constexpr Utils::Duration shortestSilence = std::chrono::milliseconds(500);
/// Spread of the random part of the score, as a share of it: keeps VMs with equal beliefs apart.
constexpr double jitter = 0.1;

Milliseconds wayCost(Distance distance, double answerBytes)
{
    const double kilobytes = answerBytes / kilobyte;
    switch (distance) {
    case Distance::SameZone:
        return Milliseconds(0);
    case Distance::SameRegion:
        return zoneTrip + zoneKilobyte * kilobytes;
    case Distance::OtherRegion:
        return regionTrip + regionKilobyte * kilobytes;
    }
    return Milliseconds(0);
}

struct Scored {
    std::size_t index = 0;
    double score = 0;
    bool last = false;
    Utils::Duration expected {};
};

double randomShare(std::uint64_t seed, const Utils::UpstreamId& id)
{
    return static_cast<double>(Utils::stableHash(id.value, seed) >> 11) / static_cast<double>(1ULL << 53);
}

Scored scoreOf(
    const Candidate& candidate, std::size_t index, const PlacementRequest& request, Utils::Instant now)
{
    Scored scored;
    scored.index = index;
    scored.expected = estimateLatency(*candidate.load, *request.stats, request.baselineLatency,
        candidate.slots, candidate.coldStartFactor, now);
    const double failing = 1 + failureWeight * candidate.load->failureRate;
    const Milliseconds latency(scored.expected);
    scored.score = latency.count() * failing * (1 + jitter * randomShare(request.seed, candidate.id))
        + wayCost(candidate.distance, request.expectedResponseBytes).count();
    scored.last = now < candidate.load->ejectedUntil || isUnresponsive(*candidate.load, *request.stats, now);
    return scored;
}

} // namespace Internal

bool isUnresponsive(const UpstreamLoad& load, const ServiceStats& stats, Utils::Instant now)
{
    const Utils::Duration patience(static_cast<std::int64_t>(
        static_cast<double>(stats.serviceTime.count()) * load.slowdownFactor * Internal::silentTimes));
    const Utils::Duration bound = std::max(patience, Internal::shortestSilence);
    return load.awaitingResponseSince && now - *load.awaitingResponseSince > bound;
}

std::optional<Placement> chooseUpstream(
    const std::vector<Candidate>& candidates, const PlacementRequest& request, Utils::Instant now)
{
    std::optional<Internal::Scored> best;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Internal::Scored scored = Internal::scoreOf(candidates[index], index, request, now);
        const bool better = !best || (best->last && !scored.last)
            || (best->last == scored.last && scored.score < best->score);
        if (better)
            best = scored;
    }
    if (!best)
        return std::nullopt;
    return Placement { best->index, best->expected };
}

} // namespace Balancing
