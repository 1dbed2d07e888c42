#include <relay/relaytree.h>

#include <algorithm>
#include <tuple>

namespace Relay {

namespace Internal {

/// 0 in the same availability zone, 1 in the same region, otherwise 2.
unsigned distance(const Utils::ZoneId& one, const Utils::ZoneId& other,
    const std::map<Utils::ZoneId, Utils::RegionId>& regionByZone)
{
    if (one == other)
        return 0;
    const auto region = regionByZone.find(one);
    const auto otherRegion = regionByZone.find(other);
    const bool isSameRegion = region != regionByZone.end() && otherRegion != regionByZone.end()
        && region->second == otherRegion->second;
    return isSameRegion ? 1 : 2;
}

/// Processor and link that the leader of a large fleet needs.
constexpr double leaderCpuPercent = 30;
constexpr double leaderLinkMegabits = 100;

/// A VM with this much more capacity takes the place of another one. VMs of about the same size don't.
constexpr double replacementFactor = 2;

double capacityOf(const RelayCandidate& candidate)
{
    return relayCapacity(candidate.cpuPercent, candidate.linkMegabits);
}

bool hasClearlyLess(const RelayCandidate& candidate, double capacity)
{
    return capacity > 0 && capacityOf(candidate) * replacementFactor <= capacity;
}

} // namespace Internal

std::optional<std::string> chooseRelay(const std::vector<RelayCandidate>& candidates,
    const Utils::ZoneId& zone, const std::map<Utils::ZoneId, Utils::RegionId>& regionByZone)
{
    std::vector<RelayCandidate> usable;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(usable),
        [](const RelayCandidate& candidate) { return candidate.subscribers < maxRelaySubscribers; });
    const auto rank = [&](const RelayCandidate& candidate) {
        const double load
            = static_cast<double>(candidate.subscribers + 1) / std::max(candidate.cpuPercent, 1U);
        return std::tuple(Internal::distance(candidate.zone, zone, regionByZone), load, candidate.address);
    };
    const auto best = std::min_element(usable.begin(), usable.end(),
        [&rank](const RelayCandidate& one, const RelayCandidate& other) { return rank(one) < rank(other); });
    if (best == usable.end())
        return std::nullopt;
    return best->address;
}

double relayCapacity(unsigned cpuPercent, unsigned linkMegabits)
{
    const double processor = cpuPercent / Internal::leaderCpuPercent;
    return linkMegabits > 0 ? std::min(processor, linkMegabits / Internal::leaderLinkMegabits) : processor;
}

bool deservesDirectPlace(const std::vector<RelayCandidate>& served, double capacity)
{
    return std::any_of(served.begin(), served.end(), [capacity](const RelayCandidate& candidate) {
        return Internal::hasClearlyLess(candidate, capacity);
    });
}

std::optional<std::size_t> chooseReplaced(const std::vector<RelayCandidate>& served, double capacity)
{
    const auto rank = [](const RelayCandidate& candidate) {
        return std::tuple(candidate.subscribers > 0, Internal::capacityOf(candidate), candidate.address);
    };
    const auto weakest = std::min_element(served.begin(), served.end(),
        [&rank](const RelayCandidate& one, const RelayCandidate& other) { return rank(one) < rank(other); });
    if (weakest == served.end() || weakest->subscribers > 0 || !Internal::hasClearlyLess(*weakest, capacity))
        return std::nullopt;
    return static_cast<std::size_t>(std::distance(served.begin(), weakest));
}

} // namespace Relay
