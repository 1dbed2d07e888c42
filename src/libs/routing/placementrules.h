#pragma once

#include <routing/configuration.h>
#include <routing/evacuations.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <map>
#include <set>
#include <vector>

/// Where requests may be served: the home regions of routes, and the evacuations in force.
namespace Routing {

enum class PlacementVerdict {
    Allowed,
    /// The zone is in no home region, or its region is not known.
    OutsideHomes,
    Evacuated,
};

/// What the rules are applied to, as this VM knows it.
struct PlacementRules {
    const std::map<Utils::ZoneId, Utils::RegionId>& regionByZone;
    const Evacuations& evacuations;
};

/// Whether \a zone is in one of \a homes. Without homes all zones are.
bool isInHomes(const std::vector<Utils::RegionId>& homes, const Utils::ZoneId& zone,
    const std::map<Utils::ZoneId, Utils::RegionId>& regionByZone);

/// Whether a request with these \a homes may be sent to an upstream in \a zone.
PlacementVerdict checkPlacement(
    const PlacementRules& rules, const std::vector<Utils::RegionId>& homes, const Utils::ZoneId& zone);

/// As checkPlacement(), for the holder of the request's key.
///
/// Load pattern: all keys of a zone have to move at once, which takes about as long as their running
/// requests, and nobody else can serve them meanwhile. \param timeout from the start of the evacuation on.
PlacementVerdict checkHolderPlacement(const PlacementRules& rules, const std::vector<Utils::RegionId>& homes,
    const Utils::ZoneId& zone, Utils::Duration timeout, Utils::Instant now);

/// Finds the regions that may hold the keys of each service: the homes of its routes, if all have some.
std::map<Utils::ServiceId, std::vector<Utils::RegionId>> findServiceHomes(const Configuration& configuration);

/// Finds the home regions that contain no known zone.
std::set<Utils::RegionId> findUnknownHomes(
    const Configuration& configuration, const std::map<Utils::ZoneId, Utils::RegionId>& regionByZone);

} // namespace Routing
