#pragma once

#include <routing/configuration.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Routing {

/// A configuration with an index to look up the route of a request.
struct RouteTable {
    Configuration configuration;
    /// Maps host and path prefix to the index into the routes of the configuration.
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> routesByHost;
};

RouteTable makeRouteTable(Configuration configuration);

/// Finds the route of \a host with the longest path prefix that matches \a target; null if there is none.
/// \param host may include a port; compared without regard to case.
/// \param target path with an optional query.
const Route* findRoute(const RouteTable& table, std::string_view host, std::string_view target);

} // namespace Routing
