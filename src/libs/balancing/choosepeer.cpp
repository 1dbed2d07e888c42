#include <balancing/choosepeer.h>

#include <utils/hash.h>

namespace Balancing {

namespace Internal {

/// Cost of a request in flight at a VM, relative to the costs of distance: a VM nearby gets some ten requests
/// more than one in another zone before that one is preferred.
constexpr double outstandingCost = 1;
constexpr double zoneCost = 10;
constexpr double regionCost = 60;
/// Spreads the first requests over VMs that are equal otherwise.
constexpr double jitter = 1;

double distanceCost(const std::optional<Distance>& distance)
{
    switch (distance.value_or(Distance::SameRegion)) {
    case Distance::SameZone:
        return 0;
    case Distance::SameRegion:
        return zoneCost;
    case Distance::OtherRegion:
        return regionCost;
    }
    return regionCost;
}

double randomFraction(std::uint64_t seed, const std::string& address)
{
    constexpr std::uint64_t steps = 4096;
    return static_cast<double>(Utils::stableHash(address, seed) % steps) / steps;
}

} // namespace Internal

std::optional<std::string> choosePeer(
    const std::map<std::string, PeerLoad>& peers, std::uint64_t seed, Utils::Instant now)
{
    std::optional<std::string> best;
    double bestCost = 0;
    for (auto it = peers.begin(); it != peers.end(); ++it) {
        const PeerLoad& peer = it->second;
        if (now < peer.avoidedUntil)
            continue;
        const double cost = Internal::distanceCost(peer.distance)
            + Internal::outstandingCost * peer.outstanding
            + Internal::jitter * Internal::randomFraction(seed, it->first);
        if (best && cost >= bestCost)
            continue;
        best = it->first;
        bestCost = cost;
    }
    return best;
}

} // namespace Balancing
