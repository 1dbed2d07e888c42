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

} // namespace Relay
