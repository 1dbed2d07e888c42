#pragma once

#include <utils/ids.h>

namespace Routing {

/// A destination of a route and its weight in the traffic split of the route.
struct RouteDestination {
    Utils::ServiceId service;
    unsigned weight = 1;

    bool operator==(const RouteDestination&) const = default;
};

} // namespace Routing
