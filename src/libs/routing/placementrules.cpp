#include <routing/placementrules.h>

#include <algorithm>

namespace Routing {

bool isInHomes(const std::vector<Utils::RegionId>& homes, const Utils::ZoneId& zone,
    const std::map<Utils::ZoneId, Utils::RegionId>& regionByZone)
{
    if (homes.empty())
        return true;
    const auto region = regionByZone.find(zone);
    return region != regionByZone.end()
        && std::find(homes.begin(), homes.end(), region->second) != homes.end();
}

PlacementVerdict checkPlacement(
    const PlacementRules& rules, const std::vector<Utils::RegionId>& homes, const Utils::ZoneId& zone)
{
    if (!isInHomes(homes, zone, rules.regionByZone))
        return PlacementVerdict::OutsideHomes;
    return findEvacuation(rules.evacuations, zone) ? PlacementVerdict::Evacuated : PlacementVerdict::Allowed;
}

PlacementVerdict checkHolderPlacement(const PlacementRules& rules, const std::vector<Utils::RegionId>& homes,
    const Utils::ZoneId& zone, Utils::Duration timeout, Utils::Instant now)
{
    const PlacementVerdict verdict = checkPlacement(rules, homes, zone);
    if (verdict != PlacementVerdict::Evacuated)
        return verdict;
    return now - findEvacuation(rules.evacuations, zone)->since < timeout ? PlacementVerdict::Allowed
                                                                          : PlacementVerdict::Evacuated;
}

std::map<Utils::ServiceId, std::vector<Utils::RegionId>> findServiceHomes(const Configuration& configuration)
{
    std::map<Utils::ServiceId, std::set<Utils::RegionId>> homes;
    std::set<Utils::ServiceId> unrestricted;
    for (const Route& route : configuration.routes) {
        for (const RouteDestination& destination : route.destinations) {
            if (destination.weight == 0)
                continue;
            homes[destination.service].insert(route.homeRegions.begin(), route.homeRegions.end());
            if (route.homeRegions.empty())
                unrestricted.insert(destination.service);
        }
    }
    std::map<Utils::ServiceId, std::vector<Utils::RegionId>> homesByService;
    for (auto it = homes.begin(); it != homes.end(); ++it) {
        if (!unrestricted.contains(it->first))
            homesByService[it->first].assign(it->second.begin(), it->second.end());
    }
    return homesByService;
}

std::set<Utils::RegionId> findUnknownHomes(
    const Configuration& configuration, const std::map<Utils::ZoneId, Utils::RegionId>& regionByZone)
{
    std::set<Utils::RegionId> unknown;
    for (const Route& route : configuration.routes)
        unknown.insert(route.homeRegions.begin(), route.homeRegions.end());
    for (auto it = regionByZone.begin(); it != regionByZone.end(); ++it)
        unknown.erase(it->second);
    return unknown;
}

} // namespace Routing
