#pragma once

#include <routing/configuration.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Routing {

/// A configuration with an index to look up the route of a request.
struct RouteTable {
    Configuration configuration;
    /// Maps host and path prefix to the index into the routes of the configuration.
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> routesByHost;
    /// Regions that may hold the keys of a service; a service that is missing has no home regions.
    std::map<Utils::ServiceId, std::vector<Utils::RegionId>> homesByService;
};

RouteTable makeRouteTable(Configuration configuration);

/// Finds the route of \a host with the longest path prefix that matches \a target; null if there is none.
/// \param host may include a port; compared without regard to case.
/// \param target path with an optional query.
const Route* findRoute(const RouteTable& table, std::string_view host, std::string_view target);

} // namespace Routing
