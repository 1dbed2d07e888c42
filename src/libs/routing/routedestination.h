#pragma once

#include <utils/ids.h>

namespace Routing {

/// One destination of a route and its share of the route's requests.
struct RouteDestination {
    Utils::ServiceId service;
    unsigned weight = 1;

    bool operator==(const RouteDestination&) const = default;
};

} // namespace Routing
