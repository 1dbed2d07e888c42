#pragma once

#include <routing/configuration.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Routing {

/// A configuration and the index that finds a request's route in it.
struct RouteTable {
    Configuration configuration;
    /// Host, then path prefix, to the position in the configuration's routes.
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> routesByHost;
};

RouteTable makeRouteTable(Configuration configuration);

/// The route with the longest prefix of \a target's path among those of \a host, or null.
/// \param host may carry a port; case does not count.
/// \param target path with an optional query.
const Route* findRoute(const RouteTable& table, std::string_view host, std::string_view target);

} // namespace Routing
